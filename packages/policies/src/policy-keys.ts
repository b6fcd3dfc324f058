const REVISION_DIGITS = 15;

/** Number of changes whose record and operation identifier the store keeps. */
export const HISTORY_LENGTH = 16_384;

/** Keys of the policies of one cluster in the store. */
export class PolicyKeys {
  private readonly root: string;

  constructor(cluster: string) {
    this.root = `daisyferry/${cluster}/policies/`;
  }

  /** Holds the greatest revision; every change compares and replaces it. */
  get head(): string {
    return `${this.root}head`;
  }

  /** Prefix of the records in force, one key for each service. */
  get services(): string {
    return `${this.root}services/`;
  }

  service(service: string): string {
    return `${this.services}${service}`;
  }

  /** The record of one revision, kept for `HISTORY_LENGTH` further changes. */
  history(revision: number): string {
    return `${this.root}history/${String(revision).padStart(REVISION_DIGITS, '0')}`;
  }

  /** What became of one operation. */
  operation(operationId: string): string {
    return `${this.root}operations/${operationId}`;
  }
}
