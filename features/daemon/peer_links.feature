Feature: Links between daemons are opened once and closed on errors

  # Guards against two links or none after simultaneous dials, sends above the byte
  # budget, unbounded queues, redials without backoff, and peers that are not trusted.
  Scenario Outline: <failure>
    Given simulated links with "<mode>"
    When the simulation goes through "<events>"
    Then the simulation ends with "<checks>"

    Examples:
      | failure                                   | mode     | events                           | checks                                              |
      | Both dial at the same time                | tie      | one working link                 | opened by: gateway-1, nothing left                  |
      | Many messages in one turn                 | plain    | burst: 25                        | nothing left                                        |
      | The byte budget is exhausted              | plain    | send steadily: 2000 200          | gaps at longest                                     |
      | The byte budget is kept                   | plain    | send steadily: 65536 200         | gaps short                                          |
      | The peer does not read                    | plain    | peer does not read: 12           | no link of: 1                                       |
      | The peer is gone                          | plain    | peer ends for: 60                | dials between: 2 60, nothing left                   |
      | A removed member sends                    | plain    | removed peer sends               | nothing left                                        |
      | A member's address is not on loopback     | plain    | learn of member at: 192.0.2.1:80 | dials between: 0 0                                  |
      | A member's address is no address          | plain    | learn of member at: nowhere      | dials between: 0 0                                  |
      | No failure, certificates of one authority | tls      | one working link                 | nothing left                                        |
      | A certificate of another authority        | tls-two  | no link of: 1                    | no link of: 2, nothing left                         |
      | A plain connection to a daemon with TLS   | tls      | plain daemon dials               | no link of: 3                                       |
