import type { ServicePolicy } from '@daisyferry/model/policy';
import { setTimeout as sleep } from 'node:timers/promises';
import type { Cluster } from './cluster';
import type { Fault } from './fault';
import { waitUntil } from './polling';
import { wallClockMs } from './wall-clock';

const DRAIN_TIMEOUT_MS = 20_000;
/** A drained daemon first completes the calls that entered at it. */
const STOP_GRACE_MS = 10_000;

/** A planned drain and replacement of one instance. Wall-clock times in ms. */
export interface DrainRecord {
  readonly instance: string;
  /** Base URL of the listener for callers of its daemon. */
  readonly entry: string;
  readonly drainRequestedAtMs: number;
  /** When the daemon exited or reported that no call is in flight; null if it did neither. */
  readonly drainCompletedAtMs: number | null;
  /** When the new daemon process of the same name was ready. */
  readonly replacedAtMs: number;
}

/** Events during the injection of the faults. */
export interface InjectionLog {
  readonly drains: readonly DrainRecord[];
  /** Instances whose daemon or target was killed. */
  readonly killed: readonly string[];
  /** Outcomes of the policy changes, in order. */
  readonly policyOutcomes: readonly string[];
  /** Faults that could not be injected, with the error. */
  readonly problems: readonly string[];
}

/** Injects the faults of one phase at their scheduled times. */
export class FaultInjector {
  private readonly drains: DrainRecord[] = [];

  private readonly killed: string[] = [];

  private readonly policyOutcomes: string[] = [];

  private readonly problems: string[] = [];

  private policyChangeCount = 0;

  constructor(
    private readonly cluster: Cluster,
    private readonly policies: readonly ServicePolicy[],
    private readonly printProgress: (line: string) => void,
  ) {}

  async injectAll(faults: readonly Fault[], startAtMs: number): Promise<InjectionLog> {
    await Promise.all(faults.map((fault) => this.injectAt(fault, startAtMs)));
    const { drains, killed, policyOutcomes, problems } = this;
    return { drains, killed, policyOutcomes, problems };
  }

  private async injectAt(fault: Fault, startAtMs: number): Promise<void> {
    await sleep(Math.max(0, startAtMs + fault.atMs - wallClockMs()));
    this.printProgress(`${(fault.atMs / 1_000).toFixed(1)} s: ${JSON.stringify(fault)}`);
    try {
      await this.inject(fault);
    } catch (error) {
      this.problems.push(`${fault.kind}: ${String(error)}`);
    }
  }

  private async inject(fault: Fault): Promise<void> {
    const { cluster } = this;
    switch (fault.kind) {
      case 'slow':
        return cluster.setSpeed(fault.service, fault.speedFactor);
      case 'kill-daemon':
        this.killed.push(fault.instance);
        return cluster.daemon(fault.instance).signal('SIGKILL');
      case 'start-daemon':
        return cluster.restartDaemon(fault.instance);
      case 'kill-target':
        this.killed.push(fault.instance);
        return cluster.targetProcessOf(fault.instance).signal('SIGKILL');
      case 'start-target':
        return cluster.targetProcessOf(fault.instance).start();
      case 'pause-daemon':
        return cluster.daemon(fault.instance).signal('SIGSTOP');
      case 'resume-daemon':
        return cluster.daemon(fault.instance).signal('SIGCONT');
      case 'replace':
        return this.drainAndReplace(fault.instance);
      case 'store':
        return cluster.store.setMode(fault.mode, fault.delayMs);
      case 'policy-change':
        return this.changePolicy(fault.service);
      default:
        return fault satisfies never;
    }
  }

  private async drainAndReplace(instance: string): Promise<void> {
    const { cluster } = this;
    const daemon = cluster.daemon(instance);
    const drainRequestedAtMs = wallClockMs();
    await daemon.admin.drain(instance);
    const hasLeft = await this.waitUntilLeft(instance);
    const drainCompletedAtMs = hasLeft ? wallClockMs() : null;
    await daemon.stop(STOP_GRACE_MS);
    await cluster.targetProcessOf(instance).stop();
    await cluster.restartDaemon(instance);
    const replacedAtMs = wallClockMs();
    const entry = daemon.callersUrl;
    this.drains.push({ instance, entry, drainRequestedAtMs, drainCompletedAtMs, replacedAtMs });
    await cluster.targetProcessOf(instance).start();
  }

  private async waitUntilLeft(instance: string): Promise<boolean> {
    const daemon = this.cluster.daemon(instance);
    try {
      await waitUntil(`drain of ${instance}`, DRAIN_TIMEOUT_MS, async () => {
        if (!daemon.isRunning) return true;
        return daemon.targetHasLeft();
      });
      return true;
    } catch (error) {
      this.problems.push(String(error));
      return false;
    }
  }

  private async changePolicy(service: string): Promise<void> {
    const policy = this.policies.find((candidate) => candidate.service === service);
    if (policy === undefined) return;
    this.policyChangeCount += 1;
    const raisedMaxDeadlineMs = (rule: { readonly maxDeadlineMs: number }): number =>
      rule.maxDeadlineMs + this.policyChangeCount;
    const changed = {
      ...policy,
      methods: policy.methods.map((rule) => ({
        ...rule,
        maxDeadlineMs: raisedMaxDeadlineMs(rule),
      })),
    };
    this.policyOutcomes.push(
      await this.cluster.applyPolicy(changed, `change-${this.policyChangeCount}`),
    );
  }
}
