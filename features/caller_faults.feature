Feature: Malformed and slow requests

  Scenario: malformed, oversized, truncated and slow requests
    Given an entry with a head timeout of 600 ms and bodies of at most 65536 bytes
    Then each faulty request gets the listed response
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
    And 2 pipelined requests get 2 responses in order
    And an encoded path reaches the target as it was sent
    And the entry holds no requests and no body bytes
    And the entry counted closed connections for "head_timeout" and "head_invalid"
    And no executed request has a body other than "whole"

  Scenario: the request of a disconnected caller leaves every queue
    Given a fleet with one busy engine and queued requests
    When the callers of the queued requests disconnect
    Then the agent holds only the running request
    And the entry holds only the running request
