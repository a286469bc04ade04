Feature: Servers that answer twice give no caller an answer that is not its own

  Scenario Outline: a second answer at once costs no caller its own
    Given an entry before 1 app servers and 1 llm servers
    And servers that send each answer with <first> and again at once with <second>
    When 6 times a caller reads, writes and streams
    Then each answer is 200 and the whole answer to its request
    And no request ran more than once

    Examples:
      | first   | second   |
      | length  | length   |
      | length  | chunked  |
      | length  | unframed |
      | chunked | length   |
      | chunked | chunked  |
      | chunked | unframed |

  Scenario Outline: a second answer before the next one costs no caller its own
    Given an entry before 1 app servers and 1 llm servers
    And servers that send each answer with <first> and again before the next with <second>
    When 6 times a caller reads, writes and streams
    Then each answer is 200 and the whole answer to its request
    And no request ran more than once

    Examples:
      | first   | second  |
      | length  | length  |
      | length  | chunked |
      | chunked | length  |
      | chunked | chunked |

  Scenario Outline: a second answer that nothing sets apart never looks like an answer
    Given an entry before 1 app servers and 1 llm servers
    And servers that send each answer with <first> and again <when> with <second>
    When 6 times a caller reads, writes and streams
    Then no answer is 200 without being the whole answer to its request
    And each write ran at most once

    Examples:
      | first    | when            | second   |
      | unframed | at once         | length   |
      | unframed | at once         | chunked  |
      | unframed | at once         | unframed |
      | length   | before the next | unframed |
      | chunked  | before the next | unframed |

  Scenario: wherever its bytes are split, a second answer behind one without a length is found
    When 600 answers without a length and a second one are split at random positions
    Then each was given up, with nothing passed on but bytes of the first

  Scenario: a sound answer without a length may hold the text of any other message
    When 600 answers without a length hold parts of other messages, and end in no head
    Then each was passed on whole
