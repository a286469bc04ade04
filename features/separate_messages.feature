Feature: Bytes of one message never stand in another, on either side

  Scenario: a second answer that stops inside its head is not the end of one without a length
    When a second answer behind one without a length stops at each place behind its status line
    Then each was given up, with nothing passed on but bytes of the first

  Scenario Outline: what follows an answer to HEAD reaches no caller
    Given an entry before 1 app servers and 1 llm servers
    And servers that send each answer with <first> and again at once with <second>
    When a caller sends HEAD and then GET on one connection and keeps all bytes
    Then these are the head of one answer and the whole of the other

    Examples:
      | first   | second  |
      | length  | length  |
      | chunked | chunked |

  Scenario: a stream whose coding is not chunked holds no second answer
    Given an entry before 1 app servers and 1 llm servers
    And servers that name the coding identity and send each answer twice
    When a caller with HTTP/1.1 streams /stream/1 and keeps all bytes
    Then these bytes hold one head

  Scenario: an interim response never stands inside the answer to another request
    Given an entry before 1 app servers and 1 llm servers
    And llm servers pause between events
    When a caller sends a head that expects 100 behind the first event of its stream
    Then the stream is whole before the interim response

  Scenario: a second stream behind one without a length is not passed on by an agent
    When an agent calls a target that sends a stream without a length twice
    Then the caller got nothing but bytes of the first stream

  Scenario: an attempt that fails while its replacement is being placed is replaced once
    When a silent attempt fails before the dispatcher has replied
    Then one placement is outstanding

  Scenario: the position of a stream is that of the caller after a limit
    When a stream fails for events without progress
    Then its position is the last event that was passed on

  Scenario: the position of a stream does not go back with its numbers
    When a stream sends events 1, 2, 3 and 1, and another attempt goes on
    Then that one starts behind event 3 and repeats none of them
