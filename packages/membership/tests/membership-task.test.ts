import { once } from 'node:events';
import { createSocket } from 'node:dgram';
import type { Scheduler } from '@daisyferry/model/scheduler';
import { Reachability } from '@daisyferry/model/member';
import { afterEach, describe, expect, it, vi } from 'vitest';
import { MembershipTask } from '../src/membership-task';
import { seededRandom, testMember } from './fake-network';

const LOOPBACK = '127.0.0.1';

const clock: Scheduler = {
  nowMs: () => performance.timeOrigin + performance.now(),
  after: (delayMs, action) => {
    const timer = setTimeout(action, delayMs);
    return { cancel: () => clearTimeout(timer) };
  },
};

const tasks: MembershipTask[] = [];

async function startTask(number: number): Promise<{ task: MembershipTask; port: number }> {
  const self = testMember(number, { address: LOOPBACK, gossipPort: 1 });
  const task = new MembershipTask({
    bind: { address: LOOPBACK, port: 0 },
    scheduler: clock,
    listener: {
      onMemberChanged: () => undefined,
      onPolicyRumor: () => undefined,
      onSuperseded: () => undefined,
    },
    gossip: { self, cluster: 'test', random: seededRandom(number + 1) },
  });
  tasks.push(task);
  return { task, port: await task.start() };
}

afterEach(async () => {
  await Promise.all(tasks.splice(0).map(async (task) => task.stop()));
});

describe('membership task', () => {
  it('joins over a socket, publishes its bound port and announces that it leaves', async () => {
    const first = await startTask(0);
    const second = await startTask(1);
    second.task.join([{ address: LOOPBACK, port: first.port }]);
    const reachabilityOfSecond = (): string | undefined =>
      first.task.directory.memberNamed('vault-1')?.reachability;
    await vi.waitUntil(() => reachabilityOfSecond() === Reachability.alive, { timeout: 20_000 });
    expect(first.task.directory.memberNamed('vault-1')?.member.gossipPort).toBe(second.port);
    await second.task.stop();
    await vi.waitUntil(() => reachabilityOfSecond() === Reachability.dead, { timeout: 20_000 });
  });

  it('counts dropped datagrams', async () => {
    const { task, port } = await startTask(2);
    const foreignSocket = createSocket('udp4');
    foreignSocket.send('no gossip', port, LOOPBACK);
    await vi.waitUntil(() => task.counters.dropped.malformed === 1, { timeout: 20_000 });
    expect(task.counters.datagramsIn).toBe(1);
    foreignSocket.close();
    await once(foreignSocket, 'close');
  });
});
