/** A map of bounded size, in which a new key replaces the one that was not used for longest. */
export class RecentlyUsedMap<Key, Value> {
  private readonly entriesByUse = new Map<Key, Value>();

  constructor(private readonly maxSize: number) {}

  /** Returns a value without counting it as used. */
  peek(key: Key): Value | undefined {
    return this.entriesByUse.get(key);
  }

  /** Returns the value of the key; a missing one is created. */
  use(key: Key, create: () => Value): Value {
    const value = this.entriesByUse.get(key) ?? create();
    this.entriesByUse.delete(key);
    this.entriesByUse.set(key, value);
    if (this.entriesByUse.size > this.maxSize) {
      const [leastUsed] = this.entriesByUse.keys();
      if (leastUsed !== undefined) this.entriesByUse.delete(leastUsed);
    }
    return value;
  }

  keys(): IterableIterator<Key> {
    return this.entriesByUse.keys();
  }

  values(): IterableIterator<Value> {
    return this.entriesByUse.values();
  }

  [Symbol.iterator](): IterableIterator<[Key, Value]> {
    return this.entriesByUse[Symbol.iterator]();
  }

  clear(): void {
    this.entriesByUse.clear();
  }
}
