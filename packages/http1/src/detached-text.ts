/**
 * Returns a copy of a text of header characters. A text that was cut out of a head keeps the whole
 * head in memory, which matters where it outlives the message.
 */
export function detachedText(text: string): string {
  return Buffer.from(text, 'latin1').toString('latin1');
}
