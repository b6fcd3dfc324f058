import type { RandomSource } from '@daisyferry/model/scheduler';
import { seededRandom } from '@daisyferry/bench/random';
import type { RangeResult, StoreResult } from '@daisyferry/store/key-value-store';
import { FakeFreshnessDaemon, KEY } from './fake-freshness-daemon';

/** Time that the store takes for an answer. */
export const STORE_MS = 4;
const CHECK_MS = 100;

/** Daemons, a store and messages between them, in virtual time. */
export class FakeFreshnessFleet {
  readonly daemons: FakeFreshnessDaemon[] = [];

  readonly random: RandomSource;

  /** Time within which a change has to be in force. */
  applyMs = Number.POSITIVE_INFINITY;

  stepMs = 50;

  /** Reads of the configuration that have begun. */
  readCount = 0;

  nowMs = 10_000;

  storeVersion = 1;

  storeMs = STORE_MS;

  lostShare = 0;

  /** Checks at which a daemon would refuse requests with keys, by its id. */
  readonly refusals = new Map<string, number>();

  constructor(seed = 11) {
    this.random = seededRandom(seed);
  }

  private events: {
    readonly atMs: number;
    readonly daemon: FakeFreshnessDaemon;
    run: () => void;
  }[] = [];

  add(zone: string, isFollower: boolean, version = 1): FakeFreshnessDaemon {
    const daemon = new FakeFreshnessDaemon(`d${this.daemons.length}`, zone, isFollower, this);
    daemon.configuration.applyIfNewer(String(version), 'store');
    this.daemons.push(daemon);
    return daemon;
  }

  /** Three data centres with a follower each. */
  static ofThreeDataCentres(daemonsOfEach: number, seed?: number): FakeFreshnessFleet {
    const fleet = new FakeFreshnessFleet(seed);
    for (const zone of ['x', 'y', 'z']) {
      for (let index = 0; index < daemonsOfEach; index += 1) fleet.add(zone, index === 0);
    }
    return fleet;
  }

  schedule(daemon: FakeFreshnessDaemon, delayMs: number, run: () => void): void {
    this.events.push({ atMs: this.nowMs + delayMs, daemon, run });
  }

  read(daemon: FakeFreshnessDaemon): Promise<StoreResult<RangeResult>> {
    this.readCount += 1;
    const isLost = !daemon.storeAnswers || daemon.isCut || this.random() < this.lostShare;
    return new Promise((resolve) => {
      if (isLost) {
        this.schedule(daemon, this.storeMs, () =>
          resolve({ ok: false, kind: 'undecided', detail: 'lost' }),
        );
        return;
      }
      // The store reads at once; its answer is under way for the whole time.
      const values = [{ key: KEY, value: String(this.storeVersion), modRevision: 1 }];
      const value = { values, storeRevision: 1 };
      this.schedule(daemon, this.storeMs, () => resolve({ ok: true, value }));
    });
  }

  /** Lets time pass; `atStep` sees the fleet as a request that arrives then does. */
  async run(durationMs: number, atStep: () => void = () => undefined): Promise<void> {
    const endMs = this.nowMs + durationMs;
    while (this.nowMs < endMs) {
      this.nowMs += this.stepMs;
      const isDue = ({ atMs, daemon }: (typeof this.events)[number]) =>
        atMs <= this.nowMs && !daemon.isFrozen;
      const due = this.events.filter(isDue);
      this.events = this.events.filter((event) => !isDue(event));
      for (const { run } of due) run();
      for (let turn = 0; turn < 5; turn += 1) await Promise.resolve();
      atStep();
      if (this.nowMs % CHECK_MS === 0) this.check();
    }
  }

  private check(): void {
    for (const { daemonId, keeper, configurations, isFrozen } of this.daemons) {
      if (!isFrozen) {
        keeper.check();
        configurations.requestIfDue(this.nowMs);
        const refusals = this.refusals.get(daemonId) ?? 0;
        this.refusals.set(daemonId, refusals + Number(!keeper.isProven()));
      }
    }
  }
}
