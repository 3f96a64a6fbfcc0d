build-address-undefined/src/admit/admit_limits.o: \
 src/admit/admit_limits.c src/admit/admit.h src/base/base.h
src/admit/admit.h:
src/base/base.h:
