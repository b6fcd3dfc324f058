/** Parses JSON; returns undefined if the input is not valid JSON. */
export function parseJson(bytes: Buffer): unknown {
  try {
    return JSON.parse(bytes.toString());
  } catch {
    return undefined;
  }
}
