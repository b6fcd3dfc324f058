import { SocketAddress } from '@daisyferry/mesh/socket-address';
import { quote } from './quote';
import { UnreadableField } from './unreadable-field';

/** Reads the fields of one object; throws UnreadableField. */
export class FieldReader {
  private readonly fields: Readonly<Record<string, unknown>>;

  constructor(value: unknown, name: string) {
    if (typeof value !== 'object' || value === null || Array.isArray(value))
      throw new UnreadableField(`${name}: not an object`);
    this.fields = value as Readonly<Record<string, unknown>>;
  }

  has(name: string): boolean {
    return this.fields[name] !== undefined && this.fields[name] !== null;
  }

  value(name: string): unknown {
    return this.fields[name];
  }

  matching(name: string, pattern: RegExp): string {
    const value = this.fields[name];
    return typeof value === 'string' && pattern.test(value) ? value : this.reject(name);
  }

  /** Reads a finite number and limits it to the range. */
  limited(name: string, max: number): number {
    const value = this.fields[name];
    if (typeof value !== 'number' || !Number.isFinite(value)) return this.reject(name);
    return Math.min(max, Math.max(0, value));
  }

  integer(name: string, max: number): number {
    const value = this.fields[name];
    const isInRange = Number.isSafeInteger(value) && (value as number) >= 0;
    return isInRange && (value as number) <= max ? (value as number) : this.reject(name);
  }

  boolean(name: string): boolean {
    const value = this.fields[name];
    return typeof value === 'boolean' ? value : this.reject(name);
  }

  list(name: string, maxItems: number): readonly unknown[] {
    const value = this.fields[name];
    return Array.isArray(value) && value.length <= maxItems ? value : this.reject(name);
  }

  address(name: string): SocketAddress {
    const value = this.fields[name];
    return (
      (typeof value === 'string' ? SocketAddress.parse(value) : undefined) ?? this.reject(name)
    );
  }

  private reject(name: string): never {
    throw new UnreadableField(`${name}: ${quote(this.fields[name])}`);
  }
}
