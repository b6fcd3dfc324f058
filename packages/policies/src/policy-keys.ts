const REVISION_DIGITS = 15;

/** Number of latest changes whose record and operation identifier are kept in the store. */
export const HISTORY_LENGTH = 16_384;

/** Store keys of the policies of one cluster. */
export class PolicyKeys {
  private readonly prefix: string;

  constructor(cluster: string) {
    this.prefix = `daisyferry/${cluster}/policies/`;
  }

  /** Key of the greatest revision; every change compares and replaces its value. */
  get head(): string {
    return `${this.prefix}head`;
  }

  /** Prefix of the current records, one key per service. */
  get services(): string {
    return `${this.prefix}services/`;
  }

  service(service: string): string {
    return `${this.services}${service}`;
  }

  /** Key of the record of one revision, kept for `HISTORY_LENGTH` further changes. */
  history(revision: number): string {
    return `${this.prefix}history/${String(revision).padStart(REVISION_DIGITS, '0')}`;
  }

  /** Key of the state of one operation. */
  operation(operationId: string): string {
    return `${this.prefix}operations/${operationId}`;
  }
}
