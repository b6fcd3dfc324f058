import { InboundConnections } from '@daisyferry/sidecar/inbound-connections';
import { describe, expect, it } from 'vitest';

describe('InboundConnections', () => {
  it("keeps a daemon's connection when a later one of the same daemon ends", () => {
    const connections = new InboundConnections<string>();
    connections.add('d', 'kept');
    connections.add('d', 'ended');
    expect([...connections.latest()]).toEqual([['d', 'ended']]);
    expect(connections.remove('ended')).toEqual(['d']);
    expect([...connections.latest()]).toEqual([['d', 'kept']]);
    expect(connections.remove('kept')).toEqual(['d']);
    expect(connections.has('d')).toBe(false);
  });
});
