/** Maximum number of entries that are remembered; further ones are left out without a log line. */
const MAX_ENTRIES = 1_000;

/** The entries of the store that cannot be read now, with the problem of each. */
export class UnreadableEntries {
  private readonly problems = new Map<string, string>();

  get count(): number {
    return this.problems.size;
  }

  /** Adds an entry. Returns true unless it is known with the same problem, or too many are. */
  add(key: string, problem: string): boolean {
    const present = this.problems.get(key);
    if (present === problem) return false;
    if (present === undefined && this.problems.size >= MAX_ENTRIES) return false;
    this.problems.set(key, problem);
    return true;
  }

  /** Removes an entry that was deleted or replaced by one that can be read. */
  remove(key: string): void {
    this.problems.delete(key);
  }

  /** Removes the entries that are no longer in the store. */
  retain(keys: ReadonlySet<string>): void {
    for (const key of this.problems.keys()) if (!keys.has(key)) this.problems.delete(key);
  }
}
