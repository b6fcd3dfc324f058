import { ringPoint } from './quota-ring';

/** Whether a place lies after `startPoint` and up to `endPoint` on the ring. */
export function isInPart(point: number, startPoint: number, endPoint: number): boolean {
  if (startPoint < endPoint) return point > startPoint && point <= endPoint;
  return point > startPoint || point <= endPoint;
}

/** The part of the ring whose accounts have one daemon as their quota home. */
export class RingPart {
  private readonly endPoint: number;

  /** Undefined while no other daemon is usable, so that the part is the whole ring. */
  private startPoint: number | undefined;

  constructor(ownDaemonId: string) {
    this.endPoint = ringPoint(ownDaemonId);
  }

  has(point: number): boolean {
    return this.startPoint === undefined || isInPart(point, this.startPoint, this.endPoint);
  }

  /** Sets the daemon before this one; tells how the part has changed. */
  setBefore(daemonId: string | undefined): 'same' | 'grown' | 'shrunk' {
    const { startPoint } = this;
    const nextPoint = daemonId === undefined ? undefined : ringPoint(daemonId);
    if (nextPoint === startPoint) return 'same';
    const hasShrunk = nextPoint !== undefined && this.has(nextPoint);
    this.startPoint = nextPoint;
    return hasShrunk ? 'shrunk' : 'grown';
  }
}
