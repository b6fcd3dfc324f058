/** A discrete-event loop in virtual time; events due at the same time run in scheduling order. */
export class EventLoop {
  nowMs = 0;

  private sequence = 0;

  private readonly heap: { atMs: number; sequence: number; action: () => void }[] = [];

  after(delayMs: number, action: () => void): void {
    this.at(this.nowMs + delayMs, action);
  }

  at(atMs: number, action: () => void): void {
    const { heap } = this;
    const event = { atMs, sequence: this.sequence++, action };
    let child = heap.length;
    heap.push(event);
    while (child > 0) {
      const parent = Math.floor((child - 1) / 2);
      if (this.isOrdered(parent, child)) return;
      this.swap(parent, child);
      child = parent;
    }
  }

  runUntil(endMs: number): void {
    for (
      let next = this.heap.at(0);
      next !== undefined && next.atMs <= endMs;
      next = this.heap.at(0)
    ) {
      this.removeFirst();
      this.nowMs = next.atMs;
      next.action();
    }
    this.nowMs = endMs;
  }

  private removeFirst(): void {
    const last = this.heap.length - 1;
    this.swap(0, last);
    this.heap.pop();
    for (let parent = 0; ;) {
      const left = 2 * parent + 1;
      if (left >= last) return;
      const child = left + 1 < last && !this.isOrdered(left, left + 1) ? left + 1 : left;
      if (this.isOrdered(parent, child)) return;
      this.swap(parent, child);
      parent = child;
    }
  }

  private isOrdered(upper: number, lower: number): boolean {
    const [first, second] = [this.heap[upper], this.heap[lower]];
    if (first === undefined || second === undefined) return true;
    if (first.atMs !== second.atMs) return first.atMs < second.atMs;
    return first.sequence < second.sequence;
  }

  private swap(left: number, right: number): void {
    const [first, second] = [this.heap[left], this.heap[right]];
    if (first === undefined || second === undefined) return;
    this.heap[left] = second;
    this.heap[right] = first;
  }
}
