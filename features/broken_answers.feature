Feature: Answers that break off, end with their connection or belong to an earlier request

  Background:
    Given an entry before 2 app servers and 3 llm servers

  Scenario Outline: nothing but events follows in a stream that broke off, and no end
    Given the next llm servers do: <behaviour>
    When a caller with HTTP/<version> streams /stream/1 and keeps all bytes
    Then these are one head and the events 1 to 2, without an end

    Examples:
      | behaviour                | version |
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
