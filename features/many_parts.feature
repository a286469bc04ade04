Feature: Prompts of many parts, one of which crashes servers

  # A part before the last 16 of a prompt was no evidence, and never refused.
  Scenario Outline: a deadly part far from the end of a long prompt is never refused
    Given two entries before 8 llm servers that part dead crashes
    When 8 callers stream prompts of <count> parts with the part dead in place <place>, among sound ones
    Then at most 8 requests with the part dead reached the servers
    And the last 3 of them were refused with 503 and reason prompt_quarantined
    And each sound caller got its whole stream

    Examples:
      | count | place |
      | 20    | 1     |
      | 300   | 1     |
      | 300   | 150   |

  Scenario: a deadly part with a long ID is never refused
    Given two entries before 8 llm servers that a part with an ID of 200 characters crashes
    When 8 callers stream prompts of 20 parts with the deadly part in place 1, among sound ones
    Then at most 8 requests with the deadly part reached the servers
    And the last 3 of them were refused with 503 and reason prompt_quarantined
    And each sound caller got its whole stream

  Scenario: parts that were answered before are blamed, since few sound requests come between the crashes
    Given 3 entries that exchange hints
    When a request with 300 shared parts is answered at each entry
    And 6 targets crash one after another while requests with 300 shared parts wait, 4 of them beside one with the part dead
    Then requests with 300 shared parts are served at every entry
    And requests with the parts dead are refused at every entry

  Scenario: a part that was answered long ago is overlooked among many that are answered now
    Given 1 entries that exchange hints
    When requests with the parts dead are answered, and later those with 300 shared parts
    And 5 targets crash one after another while a request with 300 shared parts and the part dead waits
    Then a request with 300 shared parts and the part dead is refused
    And requests with 300 shared parts are served once one is answered

  Scenario: what is remembered of long prompts grows without a bound
    Given 1 entries that exchange hints
    When 100 targets crash one after another, each with 32 requests of 200 parts of its own
    Then the parts of the remembered crashes take at most 2097152 bytes
    And a hint tells of a crash and takes at most 60000 bytes
