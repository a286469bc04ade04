Feature: Memory for the bodies of callers' requests

  Scenario Outline: a pipelined request that is never served keeps its bytes
    Given an entry with 100000 bytes for bodies
    And the next llm servers do: <behaviour>
    When a caller sends <first>, and 50000 bytes behind it
    Then the caller gets 1 answer, and the connection closes
    And the entry holds no bytes of bodies

    Examples:
      | first                          | behaviour |
      | a stream                       | cut       |
      | a stream of HTTP/1.0           | answer    |
      | a read that asks for the close | answer    |
