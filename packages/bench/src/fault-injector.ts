import type { ServicePolicy } from '@daisyferry/model/policy';
import { setTimeout as sleep } from 'node:timers/promises';
import type { Cluster } from './cluster';
import type { Fault } from './fault';
import { waitUntil } from './polling';
import { wallClockMs } from './wall-clock';

const DRAIN_TIMEOUT_MS = 20_000;
/** A planned stop lets the calls finish that entered at the daemon. */
const STOP_GRACE_MS = 10_000;

/** One target that left by plan. Wall-clock times in ms. */
export interface DrainRecord {
  readonly instance: string;
  /** Base URL at which callers enter at its daemon. */
  readonly entry: string;
  readonly drainedAtMs: number;
  /** When the daemon had ended or reported that nothing is in flight; null if it never did. */
  readonly leftAtMs: number | null;
  /** When the new process of the same name was up. */
  readonly replacedAtMs: number;
}

/** What happened while the faults were injected. */
export interface InjectionLog {
  readonly drains: readonly DrainRecord[];
  /** Instances whose daemon or target was killed. */
  readonly killed: readonly string[];
  /** Outcomes of policy changes in order. */
  readonly policyOutcomes: readonly string[];
  /** Faults that could not be injected, with the error. */
  readonly problems: readonly string[];
}

/** Injects the faults of one half of a run at their times. */
export class FaultInjector {
  private readonly drains: DrainRecord[] = [];

  private readonly killed: string[] = [];

  private readonly policyOutcomes: string[] = [];

  private readonly problems: string[] = [];

  private changes = 0;

  constructor(
    private readonly cluster: Cluster,
    private readonly policies: readonly ServicePolicy[],
    private readonly report: (line: string) => void,
  ) {}

  async run(faults: readonly Fault[], startAtMs: number): Promise<InjectionLog> {
    await Promise.all(faults.map((fault) => this.injectAt(fault, startAtMs)));
    const { drains, killed, policyOutcomes, problems } = this;
    return { drains, killed, policyOutcomes, problems };
  }

  private async injectAt(fault: Fault, startAtMs: number): Promise<void> {
    await sleep(Math.max(0, startAtMs + fault.atMs - wallClockMs()));
    this.report(`${(fault.atMs / 1_000).toFixed(1)} s: ${JSON.stringify(fault)}`);
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
        return this.replace(fault.instance);
      case 'store':
        return cluster.store.setMode(fault.mode, fault.delayMs);
      case 'policy-change':
        return this.changePolicy(fault.service);
      default:
        return fault satisfies never;
    }
  }

  private async replace(instance: string): Promise<void> {
    const { cluster } = this;
    const daemon = cluster.daemon(instance);
    const drainedAtMs = wallClockMs();
    await daemon.admin.drain(instance);
    const left = await this.waitUntilLeft(instance);
    const leftAtMs = left ? wallClockMs() : null;
    await daemon.stop(STOP_GRACE_MS);
    await cluster.targetProcessOf(instance).stop();
    await cluster.restartDaemon(instance);
    const replacedAtMs = wallClockMs();
    const entry = daemon.callersUrl;
    this.drains.push({ instance, entry, drainedAtMs, leftAtMs, replacedAtMs });
    await cluster.targetProcessOf(instance).start();
  }

  private async waitUntilLeft(instance: string): Promise<boolean> {
    const daemon = this.cluster.daemon(instance);
    try {
      await waitUntil(`${instance} left`, DRAIN_TIMEOUT_MS, async () => {
        if (!daemon.running) return true;
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
    this.changes += 1;
    const maxDeadlineMs = (rule: { readonly maxDeadlineMs: number }): number =>
      rule.maxDeadlineMs + this.changes;
    const changed = {
      ...policy,
      methods: policy.methods.map((rule) => ({ ...rule, maxDeadlineMs: maxDeadlineMs(rule) })),
    };
    this.policyOutcomes.push(await this.cluster.applyPolicy(changed, `change-${this.changes}`));
  }
}
