/** Time after which the document is requested from another peer. */
const REQUEST_TIMEOUT_MS = 400;
/** Time that peers of the own data centre have to report a version first. */
const REMOTE_DELAY_MS = 250;

/**
 * Decides from whom a newer configuration is requested when many peers report it at about the same
 * time: from one at a time, and from the own data centre if possible. Load that it answers: a
 * configuration of many routes in a fleet in which each daemon has dozens of links.
 */
export class DocumentRequests {
  private requestedVersion = 0;

  private requestedAtMs = Number.NEGATIVE_INFINITY;

  private remoteVersion = 0;

  private remoteSinceMs = 0;

  /** Whether to request `version`, a newer one than this daemon's, from the peer that reported it. */
  shouldRequest(version: number, isLocalPeer: boolean, nowMs: number): boolean {
    const isPending =
      version <= this.requestedVersion && nowMs - this.requestedAtMs < REQUEST_TIMEOUT_MS;
    if (isPending) return false;
    if (!isLocalPeer && !this.isRemoteDue(version, nowMs)) return false;
    this.requestedVersion = version;
    this.requestedAtMs = nowMs;
    return true;
  }

  private isRemoteDue(version: number, nowMs: number): boolean {
    if (version > this.remoteVersion) {
      // The delay goes on if the previous version is still missing, however many follow it.
      if (this.requestedVersion >= this.remoteVersion) this.remoteSinceMs = nowMs;
      this.remoteVersion = version;
    }
    return nowMs - this.remoteSinceMs >= REMOTE_DELAY_MS;
  }
}
