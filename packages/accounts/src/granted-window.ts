const SLOT_MS = 100;

/** How many tokens were handed out within a window that slides in steps of 100 ms. */
export class GrantedWindow {
  private readonly slots: Float64Array;

  private slot = Number.NEGATIVE_INFINITY;

  private total = 0;

  constructor(windowMs: number) {
    // The slot that is being filled and the one that the window leaves both count in full.
    this.slots = new Float64Array(Math.ceil(windowMs / SLOT_MS) + 1);
  }

  add(count: number, nowMs: number): void {
    this.advance(nowMs);
    this.addAt(this.slot, count);
  }

  /** Takes out what was handed out lately and came back unused. */
  putBack(count: number, nowMs: number): void {
    this.advance(nowMs);
    let left = count;
    for (let age = 0; age < this.slots.length && left > 0; age += 1) {
      const taken = Math.min(left, this.slots[this.indexOf(this.slot - age)] ?? 0);
      this.addAt(this.slot - age, -taken);
      left -= taken;
    }
  }

  sum(nowMs: number): number {
    this.advance(nowMs);
    return this.total;
  }

  private addAt(slot: number, count: number): void {
    const index = this.indexOf(slot);
    this.slots[index] = (this.slots[index] ?? 0) + count;
    this.total += count;
  }

  private indexOf(slot: number): number {
    const { length } = this.slots;
    return ((slot % length) + length) % length;
  }

  private advance(nowMs: number): void {
    const current = Math.max(Math.floor(nowMs / SLOT_MS), this.slot);
    const first = Math.max(this.slot + 1, current - this.slots.length + 1);
    for (let slot = first; slot <= current; slot += 1) {
      const index = this.indexOf(slot);
      this.total -= this.slots[index] ?? 0;
      this.slots[index] = 0;
    }
    this.slot = current;
  }
}
