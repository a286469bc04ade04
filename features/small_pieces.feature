Feature: Bytes that arrive without end keep the processor from no other task

  Scenario Outline: <reader> that always finds bytes lets others run between any two reads
    Given <reader> whose peer has sent 80 bytes, which it reads one by one
    When another task waits for its own socket meanwhile
    Then the other task ran at least 70 times

    Examples:
      | reader                            |
      | a response                        |
      | a request                         |
      | a health check                    |
      | the rest of a refused request     |
      | a request to an entry with agents |

  Scenario: messages of an agent that never stop let others run
    Given an agent socket that always holds a message
    When 1000 messages are received while another task waits for its own socket
    Then the other task ran at least 15 times

  Scenario: pieces that come one by one are read together
    When a peer sends a byte every 0.5 ms for 10 seconds
    Then it was read at most 1100 times
    And no byte waited longer than 11 ms

  Scenario: pieces that come now and then are not held up
    When a peer sends a byte every 25 ms for 10 seconds
    Then it was read at most 400 times
    And no byte waited longer than 0 ms

  Scenario: long pieces are not held up
    When a peer sends 2048 bytes every 0.5 ms for 10 seconds
    Then no byte waited longer than 0 ms

  Scenario Outline: the cost of a body without a length is linear when <part> arrives in pieces of <length> bytes
    When 100000 bytes of <part> without a length arrive in pieces of <length> bytes
    Then at most 8 times as many bytes were searched

    Examples:
      | part                                | length |
      | heads of further responses          | 1      |
      | heads of further responses          | 7      |
      | heads of further responses          | 65536  |
      | status lines                        | 1      |
      | begun status lines                  | 1      |
      | begun status lines                  | 65536  |
      | fields that end like status lines   | 1      |
      | fields that end like status lines   | 65536  |
      | blank lines                         | 1      |
      | text                                | 1      |

  Scenario: where a further response is found does not depend on how the body is split
    When 300 bodies that hold parts of responses arrive whole, byte by byte and in random pieces
    Then each time the same heads were found and the same bytes held back

  Scenario: the cost of an event without an end is linear in an agent's response
    When an event of 100000 bytes arrives in an agent's response in pieces of 1 byte
    Then each of its bytes was searched at most 2 times

  Scenario Outline: a target that sends <part> in small pieces delays no other request
    Given an entry process before 1 app servers and 1 llm servers
    And a faulty service whose servers send <part> without end, in small pieces
    When 4 callers send a <kind> to the faulty service while others are served
    Then all connections to the faulty service end within 4 seconds
    And the memory of the entry grew by at most 32 MiB and it used at most 2 seconds of processor time
    And the others were served in time

    Examples:
      | part                       | kind   |
      | heads of further responses | read   |
      | a body without a length    | read   |
      | a body under a length      | write  |
      | a chunk extension          | write  |
      | header fields              | read   |
      | comments                   | stream |
      | an event                   | stream |
      | bytes after a response     | write  |

  Scenario Outline: a caller that sends <part> in small pieces delays no other request
    Given an entry process before 1 app servers and 1 llm servers
    When 4 callers in small pieces send <part> without end while others are served
    Then the memory of the entry grew by at most 32 MiB and it used at most 2 seconds of processor time
    And the others were served in time

    Examples:
      | part              |
      | a header field    |
      | header fields     |
      | blank lines       |
      | a chunk extension |
      | a body            |
