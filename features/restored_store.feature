Feature: Entries follow a store that comes back from an older copy

  Scenario Outline: an entry that was cut off meanwhile follows what is written to the restored store
    Given an entry that prefers app server 1 of 3
    And a second entry that is alone
    And the store is copied and counts 50 changes more
    When the second entry cannot reach the store
    And the store comes back from its copy
    And it is written that <change>
    And the store counts past all its earlier changes
    And the second entry can reach the store again
    Then entry 2 serves accordingly: <change>

    Examples:
      | change                    |
      | a route is added          |
      | a credential is withdrawn |
      | a server leaves           |
      | a zone is evacuated       |

  Scenario Outline: an entry that follows without a gap follows what is written to the restored store
    Given an entry that prefers app server 1 of 3
    And the store is copied and counts 50 changes more
    When the store comes back from its copy, and waiting watches are <watches>
    And it is written that <change>
    And the store counts past all its earlier changes
    Then entry 1 serves accordingly: <change>

    Examples:
      | watches  | change                    |
      | cut      | a credential is withdrawn |
      | cut      | a server leaves           |
      | gone     | a zone is evacuated       |
      | answered | a route is added          |
      | answered | a zone is evacuated       |

  Scenario Outline: a copy that comes back between two pages of a read is read completely
    Given an entry that prefers app server 1 of 3
    And the store returns 2 items per page
    And the store is copied and counts 50 changes more
    When the store comes back after the next page, and it is written that <change>
    And a second entry starts
    Then entry 2 serves accordingly: <change>

    Examples:
      | change              |
      | a route is added    |
      | a zone is evacuated |

  Scenario Outline: a new entry that cannot reach the store takes the view that has its latest changes
    Given an entry that prefers app server 1 of 3
    And a second entry that shares its view
    And the store is copied and counts 50 changes more
    When the second entry cannot reach the store
    And the store comes back from its copy
    And it is written that <change>
    And a third entry starts that shares its view
    And the store answers nobody
    And a fourth entry starts that knows entries <peers>
    Then entry 4 serves accordingly: <change>

    Examples:
      | peers   | change              |
      | 3 and 2 | a server leaves     |
      | 2 and 3 | a zone is evacuated |

  Scenario Outline: an entry that lost the store learns from a peer what the restored store has
    Given an entry that prefers app server 1 of 3
    And a second entry that shares its view and knows the third
    And the store is copied and counts 50 changes more
    When the second entry cannot reach the store
    And the store comes back from its copy
    And it is written that <change>
    And a third entry starts that shares its view
    Then entry 2 serves accordingly: <change>

    Examples:
      | change              |
      | a route is added    |
      | a zone is evacuated |

  Scenario Outline: a peer that was cut off before the copy came back does not undo later changes
    Given an entry that prefers app server 1 of 3
    And a second entry that shares its view
    And the store is copied and counts 50 changes more
    When the second entry cannot reach the store
    And the store comes back from its copy
    And it is written that <change>
    And a third entry starts that knows the second
    Then entry 3 serves accordingly: <change>
    When the store answers nobody
    Then entry 3 goes on so for 3 seconds: <change>

    Examples:
      | change              |
      | a route is added    |
      | a zone is evacuated |

  Scenario Outline: a configuration of the copy never replaces a newer one
    Given an entry that prefers app server 1 of 3
    And the store is copied and counts 0 changes more
    When a route is added under version 5
    And the store comes back from its copy, and waiting watches are <watches>
    Then entry 1 goes on so for 2 seconds: a route is added
    When it is written that a credential is withdrawn
    Then entry 1 serves accordingly: a credential is withdrawn

    Examples:
      | watches  |
      | cut      |
      | gone     |
      | answered |

  Scenario: a peer with a configuration of the copy does not replace a newer one
    Given an entry that prefers app server 1 of 3
    And a second entry that shares its view and knows the third
    And the store is copied and counts 50 changes more
    When it is written that a route is added
    Then entry 2 serves accordingly: a route is added
    When the second entry cannot reach the store
    And the store comes back from its copy
    And it is written that a server leaves
    And a third entry starts that shares its view
    Then entry 2 serves accordingly: a server leaves
    And entry 2 goes on so for 2 seconds: a route is added

  Scenario Outline: a server that the copy lacks stays in use if it registers again in time
    Given an entry that prefers app server 1 of 3
    And the store is copied while the record of app server 1 is missing
    When the store comes back from its copy, and waiting watches are <watches>
    Then app server 1 receives reads all the while for 1.2 seconds
    When app server 1 registers again after 0 seconds
    Then app server 1 receives reads after 2.5 seconds

    Examples:
      | watches  |
      | cut      |
      | gone     |
      | answered |

  Scenario Outline: a server that the copy lacks is gone if it does not register again
    Given an entry that prefers app server 1 of 3
    And the store is copied while the record of app server 1 is missing
    When the store comes back from its copy, and waiting watches are <watches>
    Then app server 1 receives none after 4.5 seconds

    Examples:
      | watches  |
      | cut      |
      | gone     |
      | answered |

  Scenario: a store that names no era is followed as before
    Given an entry that prefers app server 1 of 3
    And the store names no era
    When a route is added under version 5
    Then the added route is served
    When the store drops its history after app server 1 has left
    And 30 reads are requested
    Then all are answered
    And app server 1 received none of them

  Scenario Outline: whatever a store goes through, its follower ends with what the store has
    When 500 generated histories of a store run, <kind>
    Then each follower ended with the store's state and never took an older configuration

    Examples:
      | kind                          |
      | without restores              |
      | without restores, with no era |
      | with restores                 |

  Scenario Outline: what is known to have happened after the copy holds until it is written again
    Given a dispatcher before 2 plain targets
    And the store has reported that <change>
    When the store comes back in a new era with a copy from before
    Then the first target receives nothing for 4.0 seconds
    When 2 seconds pass
    And the store of the new era reports nothing new
    Then the first target receives requests again

    Examples:
      | change                    |
      | the first target drains   |
      | the first target left     |
      | its zone is evacuated     |

  Scenario: a target that leaves once more after the copy came back stays out of use
    Given a dispatcher before 2 plain targets
    And the store has reported that the first target drains
    When the store comes back in a new era with a copy from before
    And the store of the new era reports that the first target drains
    And 6 seconds pass
    And the store of the new era reports nothing new
    Then the first target receives nothing for 0.4 seconds

  Scenario: a view that a peer told is no reason to drop the changes of a new era
    Given a dispatcher before 2 plain targets
    When the store is lost
    And a peer at revision 900 reports that the first target drains and zone-b is evacuated
    And the store comes back in a new era with a copy from before
    And the store of the new era reports that the first target starts anew
    Then the first target receives requests again

  Scenario: a target that started anew after the copy was taken keeps its start
    Given a dispatcher before 2 plain targets
    And the store has reported that the first target starts anew
    When the store comes back in a new era with a copy from before
    Then the first target is known with its later start
