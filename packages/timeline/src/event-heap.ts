/** Binary heap of the indices of events, the one that goes first on top. */
export class EventHeap {
  private readonly indices: number[] = [];

  /** @param goesFirst True when the first index goes before the second. */
  constructor(private readonly goesFirst: (left: number, right: number) => boolean) {}

  push(index: number): void {
    this.indices.push(index);
    let place = this.indices.length - 1;
    while (place > 0) {
      const above = Math.floor((place - 1) / 2);
      if (!this.before(place, above)) return;
      this.swap(place, above);
      place = above;
    }
  }

  /** Takes out the index that goes first. */
  pop(): number | undefined {
    const top = this.indices[0];
    const last = this.indices.pop();
    if (last === undefined || this.indices.length === 0) return top;
    this.indices[0] = last;
    let place = 0;
    for (;;) {
      const left = place * 2 + 1;
      const right = left + 1;
      let first = place;
      if (left < this.indices.length && this.before(left, first)) first = left;
      if (right < this.indices.length && this.before(right, first)) first = right;
      if (first === place) return top;
      this.swap(place, first);
      place = first;
    }
  }

  private before(left: number, right: number): boolean {
    return this.goesFirst(this.indices[left] ?? 0, this.indices[right] ?? 0);
  }

  private swap(left: number, right: number): void {
    const index = this.indices[left] ?? 0;
    this.indices[left] = this.indices[right] ?? 0;
    this.indices[right] = index;
  }
}
