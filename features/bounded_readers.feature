Feature: What readers keep of bytes that never end

  Scenario Outline: <reader> that is sent <part> without end does not keep it
    Given a server that sends <part> without end
    When <reader> reads from it
    Then it gives up and has kept at most <KiB> KiB

    Examples: within a head or the framing
      | reader                                | part                   | KiB |
      | the store client                      | a status line          | 512 |
      | a question to a peer                  | a status line          | 512 |
      | an order                              | a status line          | 512 |
      | a load report                         | a status line          | 512 |
      | a call of an agent                    | a status line          | 512 |
      | an attempt whose caller reads nothing | a status line          | 512 |
      | the store client                      | a header field         | 512 |
      | a question to a peer                  | a header field         | 512 |
      | an order                              | a header field         | 512 |
      | a load report                         | a header field         | 512 |
      | a call of an agent                    | a header field         | 512 |
      | an attempt whose caller reads nothing | a header field         | 512 |
      | the store client                      | header fields          | 512 |
      | a question to a peer                  | header fields          | 512 |
      | an order                              | header fields          | 512 |
      | a load report                         | header fields          | 512 |
      | a call of an agent                    | header fields          | 512 |
      | an attempt whose caller reads nothing | header fields          | 512 |
      | the store client                      | interim responses      | 512 |
      | a question to a peer                  | interim responses      | 512 |
      | an order                              | interim responses      | 512 |
      | a load report                         | interim responses      | 512 |
      | a call of an agent                    | interim responses      | 512 |
      | an attempt whose caller reads nothing | interim responses      | 512 |
      | the store client                      | bytes that are no HTTP | 512 |
      | a question to a peer                  | bytes that are no HTTP | 512 |
      | an order                              | bytes that are no HTTP | 512 |
      | a load report                         | bytes that are no HTTP | 512 |
      | a call of an agent                    | bytes that are no HTTP | 512 |
      | an attempt whose caller reads nothing | bytes that are no HTTP | 512 |
      | the store client                      | a chunk size           | 512 |
      | a question to a peer                  | a chunk size           | 512 |
      | an order                              | a chunk size           | 512 |
      | a load report                         | a chunk size           | 512 |
      | a call of an agent                    | a chunk size           | 512 |
      | an attempt whose caller reads nothing | a chunk size           | 512 |
      | the store client                      | a chunk extension      | 512 |
      | a question to a peer                  | a chunk extension      | 512 |
      | an order                              | a chunk extension      | 512 |
      | a load report                         | a chunk extension      | 512 |
      | a call of an agent                    | a chunk extension      | 512 |
      | an attempt whose caller reads nothing | a chunk extension      | 512 |
      | the store client                      | trailers               | 512 |
      | a question to a peer                  | trailers               | 512 |
      | an order                              | trailers               | 512 |
      | a load report                         | trailers               | 512 |
      | a call of an agent                    | trailers               | 512 |
      | an attempt whose caller reads nothing | trailers               | 512 |

    Examples: within a body
      | reader                                | part                    | KiB   |
      | the store client                      | chunks                  | 40960 |
      | a question to a peer                  | chunks                  | 20480 |
      | an order                              | chunks                  | 512   |
      | a load report                         | chunks                  | 512   |
      | a call of an agent                    | chunks                  | 2048  |
      | an attempt whose caller reads nothing | chunks                  | 512   |
      | the store client                      | a chunk of a terabyte   | 40960 |
      | a question to a peer                  | a chunk of a terabyte   | 20480 |
      | an order                              | a chunk of a terabyte   | 512   |
      | a load report                         | a chunk of a terabyte   | 512   |
      | a call of an agent                    | a chunk of a terabyte   | 2048  |
      | an attempt whose caller reads nothing | a chunk of a terabyte   | 512   |
      | the store client                      | a body under a length   | 40960 |
      | a question to a peer                  | a body under a length   | 20480 |
      | an order                              | a body under a length   | 512   |
      | a load report                         | a body under a length   | 512   |
      | a call of an agent                    | a body under a length   | 2048  |
      | an attempt whose caller reads nothing | a body under a length   | 512   |
      | the store client                      | a body without a length | 40960 |
      | a question to a peer                  | a body without a length | 20480 |
      | an order                              | a body without a length | 512   |
      | a load report                         | a body without a length | 512   |
      | a call of an agent                    | a body without a length | 2048  |
      | an attempt whose caller reads nothing | a body without a length | 512   |

    Examples: after a response
      | reader                                | part                   | KiB |
      | the store client                      | bytes after a response | 512 |
      | a question to a peer                  | bytes after a response | 512 |
      | an order                              | bytes after a response | 512 |
      | a load report                         | bytes after a response | 512 |
      | a call of an agent                    | bytes after a response | 512 |
      | an attempt whose caller reads nothing | bytes after a response | 512 |

    Examples: within an event
      | reader                                | part     | KiB  |
      | a call of an agent                    | an event | 2048 |
      | an attempt whose caller reads nothing | an event | 512  |

  Scenario Outline: <reader> that is slowly sent <part> does not wait for its end
    Given a server that slowly sends <part> without end
    When <reader> reads from it
    Then it gives up and has kept at most 512 KiB

    Examples:
      | reader           | part                  |
      | an order         | a status line         |
      | a load report    | a body under a length |
      | the store client | a body under a length |

  Scenario: many responses of many header fields do not exhaust the entry
    Given an entry process before 1 app servers and 1 llm servers
    And a faulty service whose servers slowly send header fields without end
    And they first send 60 KiB of it at once
    When 100 callers send a write to the faulty service while others are served
    Then the memory of the entry grew by at most 48 MiB
    And the others were served in time
    And the entry counts "attempts_total{reason="limit_exceeded"}" and logs "head exceeds 256 fields"

  Scenario: many requests of many header fields do not exhaust the entry
    Given an entry process before 1 app servers and 1 llm servers
    When 200 callers send 14 KiB of header fields at once and go on slowly while others are served
    Then the memory of the entry grew by at most 32 MiB
    And the others were served in time
    And the entry counts "refusals_total{reason="head_timeout"}" and logs "timed out while reading the request"

  Scenario: long responses are not given up for those that do not end
    Given an entry process before 0 app servers and 1 llm servers
    And a faulty service whose servers slowly send a body without a length without end
    And they first send 3660 KiB of it at once
    And an app server whose responses have 300 KiB
    When 30 callers send a write to the faulty service while others are served
    Then the others were served in time
    And the memory of the entry grew by at most 160 MiB
    And the entry counts "failed_attempts_total{reason="abandoned"}" and logs "held responses exceed the memory budget"

  Scenario: many events that do not end do not exhaust the entry
    Given an entry process before 1 app servers and 1 llm servers
    And a faulty service whose servers slowly send an event without end
    And they first send 1000 KiB of it at once
    When 150 callers send a stream to the faulty service while others are served
    Then the memory of the entry grew by at most 128 MiB
    And the others were served in time
    And the entry counts "failed_attempts_total{reason="abandoned"}" and logs "held responses exceed the memory budget"

  Scenario: an error response that is kept while another target is tried counts as held
    Given a request whose first attempt got an error of 4000 KiB and whose second runs
    Then it holds 4000 KiB
    When the memory for responses is exhausted
    Then it holds 0 KiB
    And a response to the second attempt is sent to the caller

  Scenario: bodies of callers that fill the budget cost other callers nothing
    Given an entry process before 1 app servers and 1 llm servers
    When 60 callers send 3900 KiB of a body at once and go on slowly while others are served
    Then the memory of the entry grew by at most 128 MiB
    And the others were served in time
    And the entry counts "refusals_total{reason="body_budget_full"}" and logs "request bodies exceed the memory budget"

  Scenario Outline: a body that is refused for want of memory costs the caller of <other> nothing
    Given callers who share 400 KiB of memory, a quarter of it for bodies
    When one sends 80 KiB of a body, another one 60 KiB, and a third one <other>
    Then the second is refused with "body_budget_full", and the third is served

    Examples:
      | other                    |
      | a request without a body |
      | a body of 1 KiB          |

  Scenario: a caller that stands still with a long body does not keep others from sending one
    Given callers who share 400 KiB of memory, a quarter of it for bodies
    When one sends 80 KiB of a body and stands still, and another one sends 60 KiB
    Then the first is given up with "body_budget_full", and the second goes on

  Scenario Outline: a store whose pages do not end is given up
    Given a store that answers each read with <page>, and more to come
    When an entry reads everything
    Then it takes the store for lost with "<error>", after at most <count> pages and <MiB> MiB

    Examples:
      | page                    | error                              | count | MiB |
      | the same keys           | a page ends once more with key 'a' | 2     | 1   |
      | the next key and 1 MiB  | pages exceed 33554432 bytes        | 33    | 128 |
      | millions of empty items | reply exceeds 100000 items         | 1     | 128 |

  Scenario Outline: <reader> whose peer sends <part> without end cuts it off
    Given <reader> whose peer sends <part> without end
    When the peer is cut off or has sent 16 MiB
    Then it was cut off after at most 8 MiB

    Examples:
      | reader   | part                    |
      | an entry | a frame of 2 GB         |
      | an entry | a frame of 9 TB         |
      | an entry | bytes that are no frame |
      | an agent | a frame of 2 GB         |
      | an agent | a frame of 9 TB         |
      | an agent | bytes that are no frame |

  Scenario Outline: <reader> whose peer never ends a message of many frames cuts it off
    Given <reader> whose peer sends frames of one message without end
    When the peer is cut off or has sent 16 MiB
    Then it was cut off after at most 8 MiB

    Examples:
      | reader   |
      | an entry |
      | an agent |
