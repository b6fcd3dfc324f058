/** How much of a target each client account uses, to share its room fairly while it is scarce. */
export interface AccountShares {
  /** Records that a call of the account has occupied a slot for this time. */
  recordUse(account: string, slotMs: number, nowMs: number): void;
  /**
   * Slot time that the account has used beyond that of the account with the least among those that
   * wait, 0 or more; calls of accounts with less start first within a class.
   */
  excessMs(account: string, nowMs: number): number;
}
