Feature: What is handed on is what was framed

  Scenario Outline: a request that offers <protocol> is served whole, in the protocol that it came in
    Given an entry before 1 app servers and 1 llm servers
    When a caller offers <protocol> with a body <framing> and sends another request behind it
    Then the server received both bodies and no offer
    And the caller got two answers and nothing else

    Examples:
      | protocol  | framing   |
      | h2c       | of length |
      | h2c       | in chunks |
      | websocket | of length |
      | TLS/1.2   | in chunks |

  Scenario: requests of any framing, split anywhere, are handed on as they were sent
    When generated requests with and without offers arrive in pieces
    Then each was handed on once, with the body that was sent

  Scenario: a request for a tunnel is refused once
    When a caller asks for a tunnel
    Then the parser refuses it as invalid_request
