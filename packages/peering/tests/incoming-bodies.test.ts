import { IncomingBodies } from '@daisyferry/peering/incoming-bodies';
import { describe, expect, it } from 'vitest';

describe('IncomingBodies', () => {
  const bodies: string[] = [];

  function open(): IncomingBodies {
    bodies.length = 0;
    return new IncomingBodies(() => undefined);
  }

  it('takes no body that is longer than announced', () => {
    const incoming = open();
    incoming.expect(1, 4, (body) => bodies.push(body.toString()));
    expect(incoming.append(1, Buffer.from('abc'))).toBe(true);
    expect(incoming.append(1, Buffer.from('de'))).toBe(false);
    expect(bodies).toEqual([]);
  });

  it('does not start a body anew while another one of the stream arrives', () => {
    const incoming = open();
    expect(incoming.expect(1, 4, (body) => bodies.push(body.toString()))).toBe(true);
    incoming.append(1, Buffer.from('ab'));
    expect(incoming.expect(1, 2, (body) => bodies.push(body.toString()))).toBe(false);
  });
});
