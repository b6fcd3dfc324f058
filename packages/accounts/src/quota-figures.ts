/** Requests of one account at this entry. */
export interface AccountFigures {
  admitted: number;
  refused: number;
}

/** Accounts that are counted by name; further ones are counted together. */
const MAX_COUNTED = 1_000;
/** Accounts that the metrics name. */
const NAMED_ACCOUNTS = 10;

/** Counts the requests of accounts: those of the largest by name, those of the rest together. */
export class QuotaFigures {
  private readonly byAccount = new Map<string, AccountFigures>();

  private readonly rest: AccountFigures = { admitted: 0, refused: 0 };

  count(account: string, outcome: keyof AccountFigures): void {
    let figures = this.byAccount.get(account);
    if (figures === undefined) {
      figures = this.byAccount.size < MAX_COUNTED ? { admitted: 0, refused: 0 } : this.rest;
      if (figures !== this.rest) this.byAccount.set(account, figures);
    }
    figures[outcome] += 1;
  }

  /** The largest accounts by requests, and the sum of the others. */
  summary(): {
    readonly named: readonly (readonly [account: string, figures: AccountFigures])[];
    readonly rest: AccountFigures;
  } {
    const sorted = [...this.byAccount].sort(
      ([, left], [, right]) => right.admitted + right.refused - left.admitted - left.refused,
    );
    const rest = { ...this.rest };
    for (const [, { admitted, refused }] of sorted.slice(NAMED_ACCOUNTS)) {
      rest.admitted += admitted;
      rest.refused += refused;
    }
    return { named: sorted.slice(0, NAMED_ACCOUNTS), rest };
  }
}
