const MS_PER_SECOND = 1_000;

/** Token bucket that limits the bytes of control traffic sent by a daemon. */
export class ByteBudget {
  private availableBytes: number;

  private updatedAtMs: number | undefined;

  constructor(
    private readonly bytesPerSecond: number,
    private readonly burstBytes: number,
  ) {
    this.availableBytes = burstBytes;
  }

  /** Refills the bucket; returns the bytes that may be sent now, negative while it is overdrawn. */
  available(nowMs: number): number {
    const elapsedMs = Math.max(0, nowMs - (this.updatedAtMs ?? nowMs));
    const refillBytes = (elapsedMs * this.bytesPerSecond) / MS_PER_SECOND;
    this.availableBytes = Math.min(this.burstBytes, this.availableBytes + refillBytes);
    this.updatedAtMs = nowMs;
    return this.availableBytes;
  }

  /** Removes bytes from the bucket; it may be overdrawn by up to `burstBytes`. */
  spend(bytes: number, nowMs: number): void {
    this.availableBytes = Math.max(-this.burstBytes, this.available(nowMs) - bytes);
  }
}
