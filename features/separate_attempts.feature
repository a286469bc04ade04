Feature: Bytes of one attempt never stand in the answer of another

  Scenario Outline: an attempt that broke off inside its first event leaves nothing in the next one's answer
    Given an entry before 2 app servers and 3 llm servers
    And the next llm servers do: <behaviour>
    When a caller streams /stream/1
    Then the caller has events 1 to 4 once each, and the end
    And the signature is that of the target that sent the events

    Examples:
      | behaviour                         |
      | cut_first_event                   |
      | unframed_cut_first_event          |
      | cut_first_event unframed          |
      | unframed_cut_first_event unframed |

  Scenario: wherever attempts break off, callers get the events of the stream and nothing else
    When 600 requests meet targets that break off at random positions
    Then no caller got a byte that is not the stream's
