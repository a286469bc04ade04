Feature: Overhead of the agent and of messages

  Scenario: the agent's program does not import large modules
    When the agent's program is imported in a separate process
    Then none of these modules is loaded: "ssl, falcon, gevent.pywsgi, jsonschema"

  Scenario Outline: a response is complete only at its framed end
    When a response of kind "<kind>" arrives byte by byte
    Then the result is "<result>"

    Examples:
      | kind                        | result    |
      | length                      | whole     |
      | chunked                     | whole     |
      | until closed                | whole     |
      | interim first               | whole     |
      | no body                     | nothing   |
      | length cut short            | malformed |
      | chunked cut short           | malformed |
      | head cut short              | malformed |
      | not http                    | malformed |

  Scenario: waiting events are sent in one frame
    Given a response that streams events
    When 1 event arrives
    Then the next frame holds 1 event
    When 5 events and half of one arrive
    Then the next frame holds 5 events
    And no complete event is left
    When 40 events of 100 bytes arrive for frames of 1024 bytes
    Then no frame is longer than 1024 bytes and all 40 events come in order

  Scenario Outline: few messages return credits and no stream stalls
    Given an answer of <chunks> chunks of <bytes> bytes and a window of <window> bytes
    When the caller takes the chunks that the window admits
    Then the whole answer was sent and at most <most> messages returned credits

    Examples:
      | chunks | bytes | window | most |
      | 1000   | 40    | 65536  | 6    |
      | 1000   | 40    | 1024   | 500  |
      | 50     | 16384 | 65536  | 50   |
      | 50     | 16384 | 1024   | 50   |

  Scenario: waiting messages are sent in one transport message
    Given 600 chunks of 200 bytes and one of 500000 bytes wait
    When they are batched
    Then every message is unpacked once and in order
    And no batch exceeds 65536 bytes by more than one message
    And there are at most 5 batches
    And a batch with a frame missing is malformed

  Scenario: heartbeats and hints of an agent stay within the control budget
    Given a heartbeat and a hint with the longest counts of the target size
    When 7 entries exchange them every 500 ms
    Then they take at most 2048 bytes a second
