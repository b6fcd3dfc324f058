import type { ServicePolicy } from '@daisyferry/model/policy';
import path from 'node:path';
import { readMetrics } from './control-cost';
import { DaemonProcess } from './daemon-process';
import type { Deployment } from './deployment';
import { allInstances, type Instance } from './instance';
import { waitUntil } from './polling';
import { probeEntry } from './probe';
import type { ProcessGroup } from './process-group';
import type { Programs } from './programs';
import type { StandInTargetPlan } from './stand-in-target-plan';
import { StoreProcess } from './store-process';
import { TargetProcess } from './target-process';

const READY_TIMEOUT_MS = 20_000;
const MAX_SEED_DAEMONS = 3;

/** Configuration of the processes of one phase. */
export interface ClusterPlan {
  readonly deployment: Deployment;
  readonly policies: readonly ServicePolicy[];
  readonly seed: number;
  readonly phase: string;
  readonly mode: 'full' | 'passThrough';
  readonly disabledMechanisms: readonly string[];
  /** Services whose targets share one process; the others have one for each instance. */
  readonly servicesWithSharedProcess: ReadonlySet<string>;
  /** Instances whose daemon runs without a target. */
  readonly instancesWithoutTarget?: ReadonlySet<string>;
  readonly folder: string;
  readonly timelineSampleRatio: number;
}

/**
 * The processes of one phase: store stand-in, daemons and stand-in targets. Not related to the
 * `cluster` setting of a daemon.
 */
export class Cluster {
  readonly daemons = new Map<string, DaemonProcess>();

  readonly targetProcesses: TargetProcess[] = [];

  readonly revisions = new Map<string, string>();

  private storeProcess: StoreProcess | undefined;

  constructor(
    private readonly plan: ClusterPlan,
    private readonly programs: Programs,
    private readonly group: ProcessGroup,
  ) {}

  async start(): Promise<void> {
    this.storeProcess = await StoreProcess.start(this.programs.storeStandIn, this.group);
    const instances = allInstances(this.plan.deployment);
    await Promise.all(instances.map((instance) => this.startDaemon(instance)));
    await this.applyPolicies();
    await this.startTargets(instances);
    await this.waitForMembers(instances.length);
    await Promise.all(this.entryProbes().map((entry) => this.waitForEntry(entry)));
  }

  get store(): StoreProcess {
    if (this.storeProcess === undefined) throw new Error('the cluster has not been started');
    return this.storeProcess;
  }

  /** Files with the execution records of all targets. */
  get recordFiles(): readonly string[] {
    return this.targetProcesses.map(({ name }) => this.recordsFile(name));
  }

  daemon(name: string): DaemonProcess {
    const daemon = this.daemons.get(name);
    if (daemon === undefined) throw new Error(`no daemon is named ${name}`);
    return daemon;
  }

  targetProcessOf(instance: string): TargetProcess {
    const targetProcess = this.targetProcesses.find(({ targets }) =>
      targets.some(({ name }) => name === instance),
    );
    if (targetProcess === undefined) throw new Error(`no target is named ${instance}`);
    return targetProcess;
  }

  /** Base URLs of the listeners for callers, by service. */
  entryUrlsByService(): Record<string, string[]> {
    const entries: Record<string, string[]> = {};
    for (const { plan, callersUrl } of this.daemons.values()) {
      entries[plan.service] = [...(entries[plan.service] ?? []), callersUrl];
    }
    return entries;
  }

  /** Returns the first running daemon that is not excluded. */
  findRunningDaemon(excludedNames: ReadonlySet<string> = new Set()): DaemonProcess {
    const daemon = [...this.daemons.values()].find(
      ({ plan, isRunning }) => isRunning && !excludedNames.has(plan.name),
    );
    if (daemon === undefined) throw new Error('no daemon is running');
    return daemon;
  }

  /** Restarts a daemon with its name and ports and with some other daemons as seeds. */
  async restartDaemon(name: string): Promise<void> {
    const others = [...this.daemons.values()].filter(
      ({ plan, isRunning }) => isRunning && plan.name !== name,
    );
    const seedPorts = others.slice(0, MAX_SEED_DAEMONS).map(({ gossipPort }) => gossipPort);
    await this.daemon(name).start(seedPorts);
  }

  /** Applies a policy and stores its revision for the next change; returns the outcome. */
  async applyPolicy(policy: ServicePolicy, operationId: string): Promise<string> {
    const { outcome, revision } = await this.findRunningDaemon().admin.applyPolicy(
      JSON.stringify(policy),
      operationId,
      this.revisions.get(policy.service) ?? '0',
    );
    if (outcome === 'accepted') this.revisions.set(policy.service, revision);
    return outcome;
  }

  async setSpeed(service: string, speedFactor: number): Promise<void> {
    const affected = this.targetProcesses.filter(({ targets }) =>
      targets.some((target) => target.service === service),
    );
    await Promise.all(affected.map((process) => process.setSpeed({ service, speedFactor })));
  }

  private async startDaemon(instance: Instance): Promise<void> {
    const { deployment } = this.plan;
    const daemon = new DaemonProcess(
      {
        name: instance.name,
        service: instance.service.name,
        dataCentre: instance.dataCentre,
        region: deployment.region,
        slots: instance.service.slots,
        connections: instance.service.connections,
        storeUrls: [this.store.url],
        mode: this.plan.mode,
        disabledMechanisms: this.plan.disabledMechanisms,
        sampleRatio: this.plan.timelineSampleRatio,
      },
      this.programs.daemon,
      this.plan.folder,
      this.group,
    );
    await daemon.start();
    this.daemons.set(instance.name, daemon);
  }

  /**
   * Waits until each daemon knows all others, so that the load starts with complete member tables.
   */
  private async waitForMembers(members: number): Promise<void> {
    await waitUntil(`${members} members known`, READY_TIMEOUT_MS, async () => {
      const metrics = await Promise.all([...this.daemons.values()].map(readMetrics));
      const knownMembers = metrics.map((values) => values.get('daisyferry_members') ?? 0);
      if (Math.min(...knownMembers) < members)
        throw new Error(`members known to each daemon: ${knownMembers.join(' ')}`);
      return true;
    });
  }

  private async applyPolicies(): Promise<void> {
    for (const policy of this.plan.policies) {
      const operationId = `${this.plan.phase}-${policy.service}`;
      await waitUntil(`policy of ${policy.service} accepted`, READY_TIMEOUT_MS, async () => {
        const outcome = await this.applyPolicy(policy, operationId);
        return outcome === 'accepted';
      });
    }
  }

  private async startTargets(instances: readonly Instance[]): Promise<void> {
    const targetsByProcess = new Map<string, StandInTargetPlan[]>();
    const { instancesWithoutTarget = new Set() } = this.plan;
    for (const instance of instances) {
      if (instancesWithoutTarget.has(instance.name)) continue;
      const isShared = this.plan.servicesWithSharedProcess.has(instance.service.name);
      const name = isShared ? `targets-${instance.service.name}` : `target-${instance.name}`;
      targetsByProcess.set(name, [
        ...(targetsByProcess.get(name) ?? []),
        this.targetPlan(instance),
      ]);
    }
    for (const [name, targets] of targetsByProcess) {
      const recordsFile = this.recordsFile(name);
      const { seed, folder } = this.plan;
      this.targetProcesses.push(
        new TargetProcess(
          name,
          { seed, recordsFile, targets },
          this.programs.bench,
          folder,
          this.group,
        ),
      );
    }
    await Promise.all(this.targetProcesses.map((process) => process.start()));
  }

  private targetPlan({ name, service }: Instance): StandInTargetPlan {
    const { slots, connections, methods } = service;
    return {
      name,
      service: service.name,
      slots,
      connections,
      methods,
      port: 0,
      daemonUrl: this.daemon(name).localUrl,
    };
  }

  private recordsFile(name: string): string {
    return path.join(this.plan.folder, `${name}.executions.jsonl`);
  }

  private entryProbes(): readonly { url: string; call: { path: string } }[] {
    const entries = this.entryUrlsByService();
    return this.plan.deployment.requests
      .filter(({ call }) => call.httpMethod === 'GET')
      .flatMap(({ call }) => (entries[call.service] ?? []).map((url) => ({ url, call })));
  }

  private async waitForEntry({
    url,
    call,
  }: {
    url: string;
    call: { path: string };
  }): Promise<void> {
    await waitUntil(`${url}${call.path} responds`, READY_TIMEOUT_MS, () =>
      probeEntry(`${url}${call.path}`),
    );
  }
}
