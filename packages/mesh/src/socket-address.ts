import { isIPv4 } from 'node:net';

const PORT_PATTERN = /^\d{1,5}$/;
const MAX_PORT = 65_535;

/** An address that can be connected to. In JSON it is a text of the form `ip:port`. */
export class SocketAddress {
  constructor(
    readonly ip: string,
    readonly port: number,
  ) {}

  /** Returns undefined unless the text is an IPv4 address and a port from 1 on. */
  static parse(text: string): SocketAddress | undefined {
    const colon = text.lastIndexOf(':');
    const ip = text.slice(0, Math.max(0, colon));
    const portText = text.slice(colon + 1);
    const port = Number(portText);
    if (!isIPv4(ip) || !PORT_PATTERN.test(portText) || port < 1 || port > MAX_PORT)
      return undefined;
    return new SocketAddress(ip, port);
  }

  toJSON(): string {
    return `${this.ip}:${this.port}`;
  }
}
