/** Maximum number of refusals by homes after which a request is still sent to another home. */
const MAX_HOME_REFUSALS = 4;
/** Maximum number of times that targets turn a request away. */
const MAX_TARGET_REFUSALS = 12;

/** The homes that one request was sent to, and those whose targets received it. */
export class TriedTargets {
  private readonly sentTo = new Set<string>();

  private readonly reachedAt = new Set<string>();

  /** Homes whose targets turned the request away; the one that was asked longest ago first. */
  private readonly refusers: string[] = [];

  private targetRefusalCount = 0;

  private homeRefusalCount = 0;

  /** Homes that are not chosen again. */
  get excluded(): ReadonlySet<string> {
    return this.sentTo;
  }

  get hasRefusers(): boolean {
    return this.refusers.length > 0;
  }

  /** True once so many homes have refused the request that no other is asked. */
  get areHomesExhausted(): boolean {
    return this.homeRefusalCount > MAX_HOME_REFUSALS;
  }

  /** True once targets have turned the request away so often that none is asked again. */
  get areRefusalsExhausted(): boolean {
    return this.targetRefusalCount >= MAX_TARGET_REFUSALS;
  }

  /** True if the request may be sent to a target that it has not reached. */
  hasTargetsLeft(maxTargets: number): boolean {
    return this.reachedAt.size < maxTargets;
  }

  recordSent(daemonId: string): void {
    this.sentTo.add(daemonId);
  }

  /** Records that the target of this home received the request. */
  recordReached(daemonId: string): void {
    this.reachedAt.add(daemonId);
  }

  recordHomeRefusal(): void {
    this.homeRefusalCount += 1;
  }

  /** Records that a target turned the request away; it may take it later if it may be asked again. */
  recordTargetRefusal(daemonId: string, mayAskAgain: boolean): void {
    this.reachedAt.add(daemonId);
    this.targetRefusalCount += 1;
    if (mayAskAgain) this.refusers.push(daemonId);
  }

  /** Returns the home to ask again, which may then be chosen; undefined if there is none. */
  takeRefuser(): string | undefined {
    const daemonId = this.refusers.shift();
    if (daemonId !== undefined) this.sentTo.delete(daemonId);
    return daemonId;
  }
}
