Feature: Answers that break off, end with their connection or belong to an earlier request

  Background:
    Given an entry before 2 app servers and 3 llm servers

  Scenario Outline: a stream that ends with its connection is complete only between events
    Given the next llm servers do: <behaviour>
    When a caller streams /stream/1
    Then the caller has events 1 to 4 once each, and the end
    And <runs> llm servers ran it

    Examples:
      | behaviour                        | runs |
      | unframed                         | 1    |
      | unframed_cut_event               | 2    |
      | unframed_empty                   | 2    |
      | unframed_cut_event unframed      | 2    |
      | cut unframed                     | 2    |

  Scenario Outline: nothing but events follows in a stream that broke off, and no end
    Given the next llm servers do: <behaviour>
    When a caller with HTTP/<version> streams /stream/1 and keeps all bytes
    Then these are one head and the events 1 to 2, without an end

    Examples:
      | behaviour                | version |
      | cut unframed_empty       | 1.1     |
      | cut unframed_empty       | 1.0     |
      | cut_event unframed_empty | 1.1     |
      | cut missing              | 1.1     |
      | cut missing              | 1.0     |
      | cut_event missing        | 1.1     |
      | cut redirect             | 1.0     |
      | cut fail                 | 1.1     |
      | cut fail                 | 1.0     |
      | cut page                 | 1.1     |
      | cut page                 | 1.0     |
      | cut busy_without_proof   | 1.1     |
      | cut unsigned             | 1.1     |
      | cut cut_head             | 1.1     |
      | cut cut_head             | 1.0     |

  Scenario: the log of a request names the bytes of an event that an attempt left unfinished
    Given the next llm servers do: cut_event
    When a caller streams /stream/1
    Then the log of the request says: inside an event after 9 bytes of it

  Scenario: a target that ends a stream inside an event counts as lost
    Given the next llm servers do: unframed_empty
    When a caller streams /stream/1 with the prompt parts a1:40,b2:300,c3:90
    Then 1 lost connections are logged with the shared parts a1 and b2

  Scenario Outline: a refusal to an earlier request is not taken for one to the next
    Given the app servers refuse once and then always do: <behaviour>
    When 8 times a caller posts 10 bytes to /write/1
    Then no request ran more than once
    And a status that states that the request did not run is true

    Examples:
      | behaviour       |
      | refusal_copy    |
      | unnamed_refusal |

  Scenario: a connection on which another request was answered carries no further one
    Given the next app servers do: wrong_id wrong_id wrong_id
    When 8 times a caller posts 10 bytes to /write/1
    Then 5 answers are 200
    And the app servers accepted at least 4 connections

  Scenario Outline: an answer that stops inside its head is no answer
    Given servers that stop inside the head of each answer
    When for each number of bytes a caller <sends>
    Then no answer was a success

    Examples:
      | sends   |
      | posts   |
      | streams |
