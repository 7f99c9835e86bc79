/** Replaces undici's HTTP/2 client, which the router never uses. */
module.exports = () => {
  throw new Error(
    "The router's bundle does not contain undici's HTTP/2 client",
  );
};
