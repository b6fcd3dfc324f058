/** The value of a JSON text, or undefined for a text that is none. */
export function parseJson(text: Buffer): unknown {
  try {
    return JSON.parse(text.toString());
  } catch {
    return undefined;
  }
}
