/** Weight of the newest arrival; the same whatever time lies between two, as refusals come sooner. */
const SAMPLE_WEIGHT = 0.06;
/** Time without arrivals for which the share holds, and time constant of its decay after it. */
const VALIDITY_MS = 1_000;
const DECAY_MS = 300;
/** Maximum number of services; those without arrivals for long are dropped first. */
const MAX_SERVICES = 256;

interface RefusedShare {
  readonly share: number;
  readonly atMs: number;
}

/**
 * The share of this daemon's calls to each service that targets turn away although they have room,
 * as experienced after the choice of the target.
 */
export class ServiceRefusals {
  private readonly services = new Map<string, RefusedShare>();

  /** Records that a call reached a target. */
  recordArrival(service: string, isRefused: boolean, nowMs: number): void {
    const share = this.share(service, nowMs);
    this.services.delete(service);
    this.services.set(service, {
      share: share + ((isRefused ? 1 : 0) - share) * SAMPLE_WEIGHT,
      atMs: nowMs,
    });
    if (this.services.size > MAX_SERVICES) {
      const [oldest] = this.services.keys();
      if (oldest !== undefined) this.services.delete(oldest);
    }
  }

  /** True if a call reached a target of the service within this time. */
  isRecent(service: string, withinMs: number, nowMs: number): boolean {
    const known = this.services.get(service);
    return known !== undefined && nowMs - known.atMs < withinMs;
  }

  /** 0 to 1; falls towards 0 after a time without arrivals. */
  share(service: string, nowMs: number): number {
    const known = this.services.get(service);
    if (known === undefined) return 0;
    return known.share * Math.exp(-Math.max(0, nowMs - known.atMs - VALIDITY_MS) / DECAY_MS);
  }
}
