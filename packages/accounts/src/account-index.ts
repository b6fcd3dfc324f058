import type { ClientAccount } from '@daisyferry/mesh/client-account';

/** The client accounts of one configuration by their keys; whole keys are compared. */
export class AccountIndex {
  private readonly accountOfKey: ReadonlyMap<string, ClientAccount>;

  constructor(accounts: readonly ClientAccount[]) {
    this.accountOfKey = new Map(
      accounts.flatMap((account) => account.keys.map((key) => [key, account] as const)),
    );
  }

  find(key: string): ClientAccount | undefined {
    return this.accountOfKey.get(key);
  }
}
