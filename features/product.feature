Feature: Command line, checks and documents

  Scenario: the event catalogue and the code agree
    Then docs/EVENTS.md lists the event numbers of the code and no others

  Scenario: the refusal table and the code agree
    Then docs/API.md lists the refusal codes of the code and no others

  Scenario: the page of settings and the schema agree
    Then docs/SETTINGS.md lists the settings of the schema and no others

  Scenario: the table of counters and the code agree
    Then docs/OPERATIONS.md lists the counters of the code and no others

  Scenario: the refusal table has every refusal reason of the code
    Then each refusal reason in the sources is in the refusal table

  Scenario: settings may hold comments
    Given an entry settings file with a comment
    When its settings are checked
    Then the exit code is 0

  Scenario Outline: the examples pass the checks
    When <binary> checks the example <name> as <kind>
    Then the exit code is 0

    Examples:
      | binary | name           | kind      |
      | entry  | entry.json     | settings  |
      | agent  | agent.json     | settings  |
      | entry  | inventory.json | inventory |
      | agent  | rules.json     | rules     |

  Scenario: all faults of the settings are reported together
    Given an entry settings file with an unknown key, a text for a number and a missing key
    When its settings are checked
    Then the exit code is 2
    And the output names all three faults

  Scenario: broken references of an inventory are reported together
    Given an inventory with an unknown availability zone and an unknown instance
    When the inventory is checked
    Then the exit code is 2
    And the output names both references

  Scenario: a file that is not JSON
    Given a settings file of random bytes
    When its settings are checked
    Then the exit code is 2

  Scenario: an interrupted demonstration leaves no process behind
    Given a running demonstration
    When it is interrupted
    Then none of its processes is running

  Scenario: no log holds a credential
    Given a fleet with 1 engines, 1 plain service and 1 entries
    When 2 callers stream completions of 1000 tokens through every entry
    And a caller sends a wrong credential
    Then every caller has a whole answer
    And no log of the fleet holds a credential
