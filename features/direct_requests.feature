Feature: Requests through an entry that calls targets directly

  Background:
    Given an entry before 2 app servers and 2 llm servers

  Scenario: a request and its response are forwarded unchanged
    When a caller posts 3000 bytes to /write/1/2f?a=b
    Then the answer is 200 with the target's body and signature
    And the target got the same method, path and body
    And the target got the organisation, its own name and at most the caller's time
    And the target got neither the credential nor headers that only the system sets

  Scenario Outline: a request that may run once gets a truthful status
    Given the next app servers do: <behaviour>
    When a caller posts 10 bytes to /write/1
    Then the answer is <status>
    And no request ran more than once
    And a status that states that the request did not run is true

    Examples:
      | behaviour             | status |
      | shed                  | 200    |
      | moved                 | 200    |
      | shed shed             | 503    |
      | reset                 | 502    |
      | unsigned              | 502    |
      | wrong_id              | 502    |
      | encoded               | 502    |
      | cut                   | 502    |
      | busy_without_proof    | 502    |
      | fail                  | 500    |
      | unframed              | 200    |

  Scenario Outline: a request that may run more than once is retried after a failed attempt
    Given the next app servers do: <behaviour>
    When a caller gets /read/1
    Then the answer is <status>
    And no request ran on more than 2 targets

    Examples:
      | behaviour   | status |
      | shed        | 200    |
      | reset       | 200    |
      | unsigned    | 200    |
      | wrong_id    | 200    |
      | cut         | 200    |
      | fail        | 200    |
      | hang        | 200    |
      | fail fail   | 500    |
      | reset reset | 502    |

  Scenario Outline: a stream continues at another target after its last complete event
    Given the next llm servers do: <behaviour>
    When a caller streams /stream/1
    Then the caller has events 1 to 4 once each, and the end
    And the signature is that of the first target that answered

    Examples:
      | behaviour |
      | answer    |
      | shed      |
      | cut       |
      | cut_event |
      | stall     |
      | hang      |
      | unsigned  |
      | fail      |

  Scenario: a stream that cannot continue ends as incomplete
    Given the next llm servers do: cut cut
    When a caller streams /stream/1
    Then the answer is incomplete

  Scenario: a caller that resumes a stream gets the events after its last one
    When a caller streams /stream/1 after event 2
    Then the caller has events 3 to 4 once each, and the end

  Scenario: surplus bytes after a response are discarded
    Given the next app servers do: extra extra extra extra
    When a caller gets /read/1 8 times
    Then each answer belongs to its request
    And event E620 is logged

  Scenario: the disconnect of a caller cancels its attempt at once
    Given the next llm servers do: hang
    When a caller streams /stream/1 and disconnects after 0.3 seconds
    Then the connection to the target is closed within 0.5 seconds
    And the entry has no attempt in flight

  Scenario: the route's time limit ends a request
    Given the routes' time limit is 400 ms
    And the next app servers do: hang hang
    When a caller posts 10 bytes to /write/1
    Then the answer is 504
    And it arrived after 0.3 to 0.9 seconds

  Scenario: each retry gets the time left until the caller's deadline
    Given the next app servers do: hang
    When a caller gets /read/1 with 900 ms
    Then the answer is 200
    And the last target got less time than the first

  Scenario: unknown routes and credentials are refused
    When a caller gets /nowhere/1
    Then the answer is 404
    When a caller with credential "wrong" gets /read/1
    Then the answer is 401
    And no target got a request

  Scenario Outline: a malformed request is refused and the entry stays available
    When a caller sends malformed bytes: <bytes>
    Then the refusal is <status>
    When a caller gets /read/1
    Then the answer is 200

    Examples:
      | bytes            | status |
      | noise            | 400    |
      | a long head      | 431    |
      | a long body      | 413    |
      | half a head      | 408    |
      | half a body      | 408    |
      | two lengths      | 400    |
      | length and chunk | 400    |
      | no attempt id    | 400    |
      | a wrong count    | 400    |
      | a huge count     | 400    |

  Scenario: a caller may pipeline requests
    When a caller sends two requests at once
    Then both are answered in order

  Scenario: a bounded part of the response to a slow caller is buffered
    Given llm servers send 20000 events
    When a caller streams /stream/1 and reads nothing for 1 seconds
    Then the entry has read less than 4 MB of the answer

  Scenario: a connection is reused until its target closes it
    When a caller gets /read/1 6 times
    Then the app servers saw at most 2 connections
    When the app servers close their idle connections
    And a caller posts 10 bytes to /write/1
    Then the answer is 200

  Scenario: cancelling the tasks of an entry waits for no request in flight
    Given the next app servers do: hang
    When the tasks of the entry are cancelled while a read runs
    Then the answer is incomplete
