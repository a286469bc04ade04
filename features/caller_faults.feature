Feature: Broken and slow callers

  Scenario: malformed, oversized, truncated and slow requests
    Given an entry with a head limit of 600 ms and bodies of at most 65536 bytes
    Then each broken request gets its answer
      | request                | answer |
      | garbage                | 400    |
      | long request line      | 414    |
      | long head              | 400    |
      | truncated head         | 400    |
      | slow head              | 408    |
      | dripping head          | 408    |
      | no credential          | 401    |
      | wrong credential       | 401    |
      | odd credential         | 401    |
      | unknown path           | 404    |
      | wrong method           | 405    |
      | unknown service        | 404    |
      | chunked body           | 411    |
      | negative length        | 400    |
      | word for length        | 400    |
      | oversized body         | 413    |
      | endless body           | 413    |
      | truncated body         | 400    |
      | slow body              | 408    |
      | deep nesting           | 400    |
      | wrong types            | 400    |
      | not an object          | 400    |
      | odd time limit         | 400    |
      | long idempotency key   | 400    |
      | control byte in path   | 400    |
      | idle connection        | closed |
    And 2 pipelined requests get 2 answers in order
    And an encoded path reaches the target as it was sent
    And the entry holds no request and no byte
    And the entry counted closed connections for "head_timeout" and "head_invalid"
    And no executed request has a body other than "whole"

  Scenario: a caller that hangs up leaves every queue
    Given a fleet with one engine that is busy and whose queue holds callers
    When the callers in the queue hang up
    Then the agent holds only the running request
    And the entry holds only the running request
