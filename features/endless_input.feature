Feature: A peer that never stops sending harms no other request

  Scenario Outline: a target whose <part> does not end is cut off
    Given an entry process before 1 app servers and 1 llm servers
    And a faulty service whose servers send <part> without end
    When 4 callers send a <kind> to the faulty service while others are served
    Then the answers are <answer>
    And all connections to the faulty service end within <seconds> seconds
    And none of them took more than <mebibytes> MiB
    And the memory of the entry grew by at most <memory> MiB and it used at most 2 seconds of processor time
    And the others were served in time
    And the entry counts "<counter>" and logs "<log>"

    Examples: within a head
      | part               | kind   | answer | seconds | mebibytes | memory | counter                                  | log                        |
      | a status line      | read   | 502    | 1       | 8         | 24     | attempts_total{reason="limit_exceeded"}  | head exceeds 65536 bytes   |
      | a header field     | write  | 502    | 1       | 8         | 24     | attempts_total{reason="limit_exceeded"}  | head exceeds 65536 bytes   |
      | header fields      | stream | 502    | 1       | 8         | 24     | attempts_total{reason="limit_exceeded"}  | head exceeds 256 fields    |
      | interim responses  | write  | 502    | 1       | 8         | 24     | attempts_total{reason="limit_exceeded"}  | head exceeds 65536 bytes   |

    Examples: within a body
      | part                    | kind   | answer | seconds | mebibytes | memory | counter                                     | log                          |
      | a chunk size            | read   | 502    | 1       | 8         | 24     | attempts_total{reason="limit_exceeded"}     | framing exceeds 65536 bytes  |
      | a chunk extension       | write  | 502    | 1       | 8         | 24     | attempts_total{reason="limit_exceeded"}     | framing exceeds 65536 bytes  |
      | trailers                | write  | 502    | 1       | 8         | 24     | attempts_total{reason="limit_exceeded"}     | framing exceeds 65536 bytes  |
      | a body under a length   | write  | 502    | 2       | 16        | 96     | attempts_total{reason="response_too_large"} | body exceeds 8388608 bytes   |
      | a body without a length | read   | 502    | 2       | 16        | 96     | attempts_total{reason="response_too_large"} | body exceeds 8388608 bytes   |

    Examples: within a stream
      | part                      | kind   | answer     | seconds | mebibytes | memory | counter                                 | log                              |
      | an event                  | stream | 502        | 1       | 8         | 32     | attempts_total{reason="limit_exceeded"} | event exceeds 1048576 bytes      |
      | comments                  | stream | incomplete | 1       | 8         | 32     | attempts_total{reason="limit_exceeded"} | empty_events exceeds 65536 bytes |
      | events without an ID      | stream | incomplete | 1       | 8         | 32     | attempts_total{reason="limit_exceeded"} | empty_events exceeds 65536 bytes |
      | one event again and again | stream | incomplete | 1       | 8         | 32     | attempts_total{reason="limit_exceeded"} | empty_events exceeds 65536 bytes |

    Examples: after a response
      | part                        | kind  | answer | seconds | mebibytes | memory | counter                                | log                      |
      | bytes after a response      | write | 200    | 2       | 8         | 24     | attempts_total{reason="answered"}      | request_answered         |
      | bytes on an idle connection | write | 200    | 2       | 8         | 24     | unexpected_input_total{reason="idle"}  | idle_input_received      |

  Scenario Outline: a target that sends <part> byte by byte is cut off at the caller's time limit
    Given an entry process before 1 app servers and 1 llm servers
    And a faulty service whose servers slowly send <part> without end
    When 4 callers send a <kind> to the faulty service while others are served
    Then the answers are <answer>
    And all connections to the faulty service end within 4 seconds
    And the memory of the entry grew by at most 24 MiB and it used at most 2 seconds of processor time
    And the others were served in time

    Examples:
      | part                  | kind   | answer     |
      | a status line         | write  | 504        |
      | a chunk extension     | write  | 504        |
      | a body under a length | write  | 504        |
      | comments              | stream | incomplete |
      | an event              | stream | 504        |

  Scenario Outline: a caller whose <part> does not end is refused
    Given an entry process before 1 app servers and 1 llm servers
    When 4 callers <pace> send <part> without end while others are served
    Then their connections end within <seconds> seconds
    And none of theirs took more than <mebibytes> MiB
    And the memory of the entry grew by at most <memory> MiB and it used at most 2 seconds of processor time
    And the others were served in time
    And the entry counts "<counter>" and logs "<log>"

    Examples:
      | pace   | part              | seconds | mebibytes | memory | counter                                    | log               |
      | fast   | a request line    | 2       | 8         | 24     | refusals_total{reason="head_too_large"}    | head_too_large    |
      | fast   | a header field    | 2       | 8         | 24     | refusals_total{reason="head_too_large"}    | head_too_large    |
      | fast   | header fields     | 2       | 8         | 24     | refusals_total{reason="head_too_large"}    | head_too_large    |
      | fast   | blank lines       | 2       | 8         | 24     | refusals_total{reason="head_too_large"}    | head_too_large    |
      | fast   | a chunk size      | 2       | 8         | 24     | refusals_total{reason="framing_too_large"} | framing_too_large |
      | fast   | a chunk extension | 2       | 8         | 24     | refusals_total{reason="framing_too_large"} | framing_too_large |
      | fast   | trailers          | 2       | 8         | 24     | refusals_total{reason="framing_too_large"} | framing_too_large |
      | fast   | a body            | 2       | 16        | 96     | refusals_total{reason="body_too_large"}    | body_too_large    |
      | slowly | a header field    | 2       | 8         | 24     | refusals_total{reason="head_timeout"}      | head_timeout      |

  Scenario: another entry whose answer does not end is cut off
    Given an entry process whose only peer answers without end
    When the store stops answering for 3 seconds while others are served
    Then no answer of the peer took more than 24 MiB
    And the memory of the entry grew by at most 64 MiB and it used at most 3 seconds of processor time
    And the others were served in time
    And the entry counts "peer_questions_total{reason="failed"}" and logs "body exceeds 16777216 bytes"

  Scenario Outline: datagrams without end delay no request
    Given an entry process before 1 app servers and 1 llm servers
    When <kind> arrive as fast as they can be sent for 2 seconds while others are served
    Then the memory of the entry grew by at most 32 MiB and it used at most 3 seconds of processor time
    And the others were served in time
    And it is ready, and serves a read

    Examples:
      | kind                          |
      | datagrams of noise            |
      | hints of invented peers       |
      | hints with unusable addresses |

  Scenario: a store whose answer does not end is asked again and does not exhaust the entry
    Given an entry process whose store answers without end
    When the entry runs for 4 seconds
    Then no answer of the store took more than 40 MiB
    And the memory of the entry grew by at most 128 MiB and it used at most 3 seconds of processor time
    And the entry answers health checks, and a request is refused with 503

  Scenario: the cost of an event without an end is linear
    When an event of 1 MiB arrives in pieces of 64 bytes
    Then each byte was searched at most 2 times

  Scenario: comments do not put off the limit on silence
    Given an entry before 0 app servers and 2 llm servers
    And the next llm servers do: comment
    When a caller streams /stream/1
    Then the caller has events 1 to 4 once each, and the end
    And it arrived after 0.9 to 2.5 seconds
