Feature: Placement of direct attempts, on a fake clock

  Scenario: short answers gather on few engines, long prompts find others free
    Given a dispatcher before 6 engines
    When 5 short prompts have begun to write
    Then they are on at most 2 engines
    When a prompt of 210000 tokens is placed
    Then it is read on engines that write no short answer
    And on more than 2 engines

  Scenario: a full engine gets no more short prompts
    Given a dispatcher before 3 engines
    When 18 short prompts have begun to write
    Then no engine has more than 7 of them

  Scenario: a prompt of 45000 tokens does not stop short answers
    Given a dispatcher before 2 engines
    When 3 short prompts have begun to write
    And a prompt of 45000 tokens is placed
    Then it is read on engines that write no short answer

  Scenario: entries that tell each other of their load keep out of the way
    Given 2 dispatchers before 20 engines
    When the first places a prompt of 400000 tokens
    And it tells the second
    And the second places 6 short prompts
    Then none is on an engine that reads the long prompt

  Scenario: a long prompt is not read where it makes another one late
    Given 2 dispatchers before 20 engines
    When the first places a prompt of 400000 tokens
    And it tells the second
    And the second places a prompt of 210000 tokens
    Then it is read on engines that do not read the other
    And reading 2000 ms more beside the first counts as harm here and there

  Scenario: without hints an entry still places
    Given 2 dispatchers before 4 engines
    When the first places a prompt of 400000 tokens
    And the second places 6 short prompts
    Then all are placed

  Scenario: load of an entry that fell silent is forgotten
    Given 2 dispatchers before 4 engines
    When the first places a prompt of 400000 tokens
    And it tells the second
    And 4 seconds pass
    Then the second knows of no load and no peer

  Scenario: a hint that comes late changes nothing
    Given 2 dispatchers before 4 engines
    When the first places a prompt of 400000 tokens
    And it ends, and the hints arrive in the wrong order
    Then the second knows of no load

  Scenario: hints of a restarted entry count from its new start
    Given 2 dispatchers before 4 engines
    When the first places a prompt of 400000 tokens
    And it tells the second
    And the first restarts and tells the second
    Then the second knows of no load

  Scenario: members become known through a seed
    Given 4 dispatchers before 4 engines that know only the first
    When everybody tells whom it knows, 3 times
    Then everybody knows everybody

  Scenario: a target that fails often gets little
    Given a dispatcher before 4 plain targets
    When the first target fails 5 times
    And 40 requests are placed one after the other
    Then the first target got less than 5 of them

  Scenario: a silent target is paused and tried again
    Given a dispatcher before 2 plain targets
    When the first target falls silent
    Then it gets nothing for 0.9 seconds
    And it gets some again after 30 seconds

  Scenario: a cold engine gets what its service allows this entry
    Given a dispatcher before 3 engines of which the first is cold for 3 seconds
    When 60 short prompts are placed within 2 seconds
    Then the first engine got at most 2 of them

  Scenario: a large fleet is weighed in part, and every target is found
    Given a dispatcher before 1000 plain targets
    When 3000 requests are placed one after the other
    Then at least 900 targets got some of them
    When all but the first target drain
    And 5 requests are placed one after the other
    Then the first target got all 5 of them

  Scenario: repeats end with the budget
    Given a dispatcher before 4 plain targets
    When 100 requests each ask for a repeat
    Then at most 20 repeats are placed

  Scenario: a target that changes hands is paused until the fleet is known
    Given a dispatcher before 2 plain targets
    When the first target says that it is another
    Then it gets nothing for 0.9 seconds

  Scenario: entries that have just started together do not crowd the same engines
    Given 8 dispatchers before 12 engines that have just started
    When each places 5 short prompts before any hears of another
    Then no engine has more short prompts than the 8 that it works on

  Scenario: entries that have met keep short answers together
    Given 8 dispatchers before 12 engines
    When the first places 5 short prompts that begin to write
    Then they are on at most 2 engines
