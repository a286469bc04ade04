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

  Scenario Outline: a body that exceeds the budget with its last bytes is served and refused
    Given an entry with 100000 bytes for bodies
    When a caller sends <first>, and all but the last 30000 of 120000 bytes behind it
    And the caller sends the last 30000 bytes
    Then the caller gets <count> answers, and the connection closes
    And the last answer is the refusal body_budget_full
    And no server has received the body
    And the entry holds no bytes of bodies

    Examples:
      | first   | count |
      | nothing | 1     |
      | a read  | 2     |
