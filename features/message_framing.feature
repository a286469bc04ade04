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

  Scenario Outline: a request whose target is <target> and whose Host is <host> is served by the route of the named host
    Given an entry before 1 app servers and 1 llm servers
    When a caller asks for <target> with the Host <host>
    Then it is answered <status>, and the server received <path>

    Examples: RFC 9112, 3.2 and 7.2; RFC 9110, 4.2.3
      | target                           | host          | status | path        |
      | /read/1?a=b                      | shop.example  | 200    | /read/1?a=b |
      | http://shop.example/read/1?a=b   | shop.example  | 200    | /read/1?a=b |
      | HTTP://SHOP.example:80/read/1    | other.example | 200    | /read/1     |
      | http://other.example/read/1      | shop.example  | 404    | nothing     |
      | /read/1                          | shop.example. | 200    | /read/1     |
      | /read/1                          | shop.example.:80 | 200 | /read/1     |
      | http://shop.example./read/1      | shop.example  | 200    | /read/1     |

  Scenario Outline: a request whose ID is <fault> is refused, as no server could tell it from another
    Given an entry before 1 app servers and 1 llm servers
    When a caller sends a request whose ID is <fault>
    Then it is answered 400, and the server received nothing

    Examples:
      | fault                |
      | given twice          |
      | named in Connection  |

  Scenario Outline: an event stream whose lines end in <ends> is forwarded event by event, wherever it is split
    When 4 numbered events whose lines end in <ends> arrive split at every place, and byte by byte
    Then each event is returned as soon as it is complete, and no byte is lost
    And a resumed stream gets the events behind the second

    Examples: the event stream format
      | ends            |
      | LF              |
      | CR              |
      | CRLF            |
      | LF, CR and CRLF |

  Scenario: a caller gets the whole of a stream whose lines end in CRLF
    Given an entry before 0 app servers and 2 llm servers
    And its servers end lines of events in CRLF
    When a caller streams /stream/1
    Then it gets the bytes of all 4 events, and the end
