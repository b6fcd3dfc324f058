/** Binary heap of event indices, with the earliest event on top. */
export class EventHeap {
  private readonly indices: number[] = [];

  /** @param precedes Returns true if the event at the first index comes before the second. */
  constructor(private readonly precedes: (left: number, right: number) => boolean) {}

  push(index: number): void {
    this.indices.push(index);
    let position = this.indices.length - 1;
    while (position > 0) {
      const parent = Math.floor((position - 1) / 2);
      if (!this.isBefore(position, parent)) return;
      this.swap(position, parent);
      position = parent;
    }
  }

  /** Removes and returns the index of the earliest event. */
  pop(): number | undefined {
    const top = this.indices[0];
    const last = this.indices.pop();
    if (last === undefined || this.indices.length === 0) return top;
    this.indices[0] = last;
    let position = 0;
    for (;;) {
      const left = position * 2 + 1;
      const right = left + 1;
      let earliest = position;
      if (left < this.indices.length && this.isBefore(left, earliest)) earliest = left;
      if (right < this.indices.length && this.isBefore(right, earliest)) earliest = right;
      if (earliest === position) return top;
      this.swap(position, earliest);
      position = earliest;
    }
  }

  private isBefore(left: number, right: number): boolean {
    return this.precedes(this.indices[left] ?? 0, this.indices[right] ?? 0);
  }

  private swap(left: number, right: number): void {
    const index = this.indices[left] ?? 0;
    this.indices[left] = this.indices[right] ?? 0;
    this.indices[right] = index;
  }
}
