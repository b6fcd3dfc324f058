/** Files that the build takes into the bundle as text. */
declare module 'text:*' {
  const content: string;
  export default content;
}
