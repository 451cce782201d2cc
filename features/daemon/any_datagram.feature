Feature: No datagram stops a gateway's gossip

  # Guards against one malformed datagram that a gateway keeps: a member whose address cannot
  # be parsed made each later greeting fail, and a negative count drew all calls to one
  # upstream.
  Scenario: After datagrams of any content a gateway learns members and counts calls
    Then after each of 400 datagrams of any content a gateway still works

  Scenario Outline: A datagram with <damage> is ignored
    Then a datagram with <damage> is ignored and the gateway still works

    Examples:
      | damage                        |
      | a member without a port       |
      | a member at a host name       |
      | a negative count              |
      | a negative number of seconds  |
      | a time that is no number      |
      | an unknown kind of ended call |
      | a further field nested too deeply |
