import {
  TargetCrashDetection,
  type LostCall,
  type ProbeResult,
} from '@daisyferry/sidecar/target-crash-detection';
import { setTimeout as sleep } from 'node:timers/promises';
import { describe, expect, it } from 'vitest';

/** Time in which the connections of a crashed target end. */
const END_MS = 60;

class Scenario {
  readonly running = new Set<unknown>();

  readonly crashes: number[] = [];

  readonly earlierCrashes: number[] = [];

  readonly settled: boolean[] = [];

  nowMs = 0;

  isEndExpected = false;

  private onProbed: (result: ProbeResult) => void = () => undefined;

  readonly detection = new TargetCrashDetection({
    probe: (onResult) => {
      this.onProbed = onResult;
    },
    isEndExpected: () => this.isEndExpected,
    runningCalls: () => new Set(this.running),
    onCrash: (lostCalls) => this.crashes.push(lostCalls.length),
    onEarlierCrash: (lostCalls) => this.earlierCrashes.push(lostCalls.length),
    clock: () => this.nowMs,
  });

  lose(count: number): void {
    for (let index = 0; index < count; index += 1) {
      const call: LostCall = {
        requestId: 'r',
        fingerprint: 'f',
        evidenceAtStart: { clearances: 0, crashes: 0 },
        settleLost: (hasCrashed) => this.settled.push(hasCrashed),
      };
      this.detection.handleLost(call);
    }
  }

  probed(result: ProbeResult): void {
    this.onProbed(result);
  }
}

describe('TargetCrashDetection', () => {
  it('reports a crash once, with all calls that were lost', () => {
    const scenario = new Scenario();
    scenario.lose(3);
    expect(scenario.settled).toEqual([]);
    scenario.probed('refused');
    expect(scenario.crashes).toEqual([3]);
    expect(scenario.settled).toEqual([true, true, true]);
  });

  it.each(['accepted', 'unclear'] as const)('takes a probe that is %s for no crash', (result) => {
    const scenario = new Scenario();
    scenario.lose(2);
    scenario.probed(result);
    expect([scenario.crashes, scenario.settled]).toEqual([[], [false, false]]);
  });

  it('takes the end of a target that had announced it for no crash', () => {
    const scenario = new Scenario();
    scenario.isEndExpected = true;
    scenario.lose(1);
    scenario.probed('refused');
    expect([scenario.crashes, scenario.settled]).toEqual([[], [false]]);
  });

  it.each([
    ['its next incarnation follows within seconds', 2_000, false, [2]],
    ['its next incarnation follows much later', 9_000, false, []],
    ['it had announced its end', 2_000, true, []],
  ])('reports a crash of a target that was back at once, if %s', (_, atMs, expected, crashes) => {
    const scenario = new Scenario();
    scenario.lose(2);
    scenario.probed('accepted');
    scenario.nowMs = atMs;
    scenario.detection.handleReplaced(expected);
    scenario.detection.handleReplaced(false);
    expect(scenario.earlierCrashes).toEqual(crashes);
  });

  it('waits for the connections of the other calls, which may end a little later', async () => {
    const scenario = new Scenario();
    scenario.running.add('other');
    scenario.lose(1);
    scenario.probed('refused');
    scenario.running.clear();
    scenario.lose(1);
    await sleep(END_MS);
    expect(scenario.crashes).toEqual([2]);
  });

  it('takes a refused connection for no crash while other calls run on', async () => {
    const scenario = new Scenario();
    scenario.running.add('other');
    scenario.lose(1);
    scenario.probed('refused');
    await sleep(END_MS);
    expect([scenario.crashes, scenario.settled]).toEqual([[], [false]]);
    scenario.lose(1);
    scenario.probed('accepted');
    expect(scenario.settled).toEqual([false, false]);
  });
});
