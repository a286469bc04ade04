Feature: Entries that do not hear the store learn from others

  Scenario: a fresh entry that the store turns away serves what another knows
    Given an entry before 3 app servers and 1 llm servers that shares what it knows
    And the second entry's path to the store is cut
    When a second entry starts that knows the first
    Then it becomes ready within 3 seconds
    And 30 reads at the second entry are all answered
    And an unknown route at the second entry is answered 404
    And event E625 is logged

  Scenario: an entry that lost the store follows changes through another
    Given an entry before 3 app servers and 1 llm servers that shares what it knows
    And a second entry that knows the first
    When the second entry's path to the store is cut
    And app server 1 drains
    And a route is added and credentials are changed
    Then the second entry serves the added route with the new credential within 4 seconds
    And app server 1 gets none of 30 reads at the second entry
    When the second entry's path to the store is whole again
    Then event E622 is logged within 5 seconds
    And app server 1 gets none of 30 reads at the second entry

  Scenario: entries that all lost the store refuse what may be newer than they know
    Given an entry before 3 app servers and 1 llm servers that shares what it knows
    And a second entry that knows the first
    When the second entry's path to the store is cut
    And the store is silent for 6.0 seconds
    Then an unknown route at the second entry is answered 503
    And 30 reads at the second entry are all answered

  Scenario Outline: a peer that gives no answer is passed over, and the entry lives
    Given an entry before 3 app servers and 1 llm servers that shares what it knows
    And the second entry's path to the store is cut
    When a second entry starts that knows a peer which <fault>
    Then event E626 is logged within 3 seconds
    And the second entry is not ready
    When the second entry's path to the store is whole again
    Then it becomes ready within 5 seconds

    Examples:
      | fault             |
      | is not there      |
      | sends noise       |
      | sends another map |
      | refuses           |
      | breaks off        |

  Scenario Outline: a question that is none is refused
    Given an entry before 3 app servers and 1 llm servers that shares what it knows
    When the first entry is asked for <page>
    Then it says <status>

    Examples:
      | page                          | status |
      | /fleet?0                      | 200    |
      | /fleet?                       | 400    |
      | /fleet?-1                     | 400    |
      | /fleet?9999999999999999999999 | 400    |
      | /metrics                      | 404    |

  Scenario: what another entry tells is not undone by older changes of the store
    Given a dispatcher before 2 plain targets
    When the store is lost
    And a peer that follows revision 9 tells that the first target drains and zone-b is evacuated
    Then the first target gets nothing for 0.4 seconds
    When the store answers with the first target's record of revision 5 and zone-b's return of revision 6
    Then the first target gets nothing for 0.4 seconds
    And zone-b is evacuated still
    When the store answers with the first target's record of revision 10 and zone-b's return of revision 11
    Then the first target gets requests again
    And zone-b is evacuated no more

  Scenario: a peer that was far ahead holds no change back for long
    Given a dispatcher before 2 plain targets
    When the store is lost
    And a peer that follows revision 900 tells that the first target drains and zone-b is evacuated
    And the store is heard
    And 6 seconds pass
    And the store answers with the first target's record of revision 5 and zone-b's return of revision 6
    Then the first target gets requests again
    And zone-b is evacuated no more

  Scenario Outline: a peer teaches nothing that it need not
    Given a dispatcher before 2 plain targets
    When the store is <state>
    And a peer that follows revision <revision> tells that the first target drains and zone-b is evacuated
    Then nothing was learned

    Examples:
      | state | revision |
      | lost  | 1        |
      | lost  | 0        |
      | heard | 9        |

  Scenario: a configuration that a peer tells never replaces a newer one
    Given a dispatcher before 2 plain targets
    And the store has told version 7
    When the store is lost
    And a peer that follows revision 9 tells version 6
    Then version 7 is in force

  Scenario: the age of what is known comes from who heard the store
    Given a dispatcher before 2 plain targets
    When the store is lost
    And 10 seconds pass
    Then an unknown route is refused as "configuration_stale"
    When a peer that heard the store 400 ms ago tells that nothing has changed
    Then an unknown route is refused as "route_unknown"
    And 3 seconds later it is refused as "configuration_stale"

  Scenario: what is known ages while the machine is suspended
    Given a dispatcher before 2 plain targets
    And the clock of a machine that was suspended for 5 seconds
    When the store was heard just before
    Then an unknown route is refused as "configuration_stale"

  Scenario: entries that are never idle meet through a seed
    Given an entry before 3 app servers and 1 llm servers that shares what it knows
    When two more entries start that know the first, and callers keep all of them busy
    Then the two know each other within 4 seconds
