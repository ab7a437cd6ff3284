/**
 * Terms of the limits on the requests of client accounts.
 * @module
 */

/**
 * Over any window, the requests of an account that reach endpoints stay within
 * `(perSecond * window + burst) * (1 + overage) + slack`.
 */
export interface AllowanceTerms {
  readonly windowMs: number;
  /** Fraction by which the allowance may be exceeded. */
  readonly overage: number;
  /** Requests by which the allowance may be exceeded. */
  readonly slack: number;
}
