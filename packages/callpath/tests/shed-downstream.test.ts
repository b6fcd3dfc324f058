import { describe, expect, it } from 'vitest';
import type { CallKind } from './support/fake-caller';
import { FakeCaller } from './support/fake-caller';
import { SimulatedCluster } from './support/simulated-cluster';

const MIN_THRESHOLD = 1;

/** Runs one call after all homes have observed the minimum threshold for nested calls. */
async function runUnderThreshold(kind: CallKind): Promise<SimulatedCluster> {
  const cluster = new SimulatedCluster();
  for (const { downstream } of cluster.homeIncarnations) {
    for (const method of ['rate', 'payout']) {
      downstream.observeNested(method, MIN_THRESHOLD, cluster.scheduler.nowMs(), 'archive/read');
    }
  }
  await cluster.scheduler.advanceUntilSettled(new FakeCaller(cluster, kind).run(false));
  return cluster;
}

describe('a home whose nested calls are shed', () => {
  it('refuses before work, publishes the threshold, recovers without nested calls', async () => {
    const cluster = await runUnderThreshold('idempotent');
    const receivedLines = cluster.lines.filter((line) => line.includes(' received '));
    expect(receivedLines[0]).toContain('not-run shed-downstream');
    expect(receivedLines.at(-1)).toContain('completed');
    expect(cluster.lines.find((line) => line.includes(' reply '))).toContain('threshold 1.00');
    const started = cluster.lines.findIndex((line) => line.includes('target starts'));
    const refused = cluster.lines.findIndex((line) => line.includes('received not-run'));
    expect(started).toBeGreaterThan(refused);
  });

  it('still runs money calls', async () => {
    const cluster = await runUnderThreshold('money');
    const receivedLines = cluster.lines.filter((line) => line.includes(' received '));
    expect(receivedLines.map((line) => line.trim().split(' ').slice(3, 5).join(' '))).toEqual([
      'not-run ticket-required',
      'completed ',
    ]);
  });
});
